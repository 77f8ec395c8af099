#ifndef CITRONWICK_TRAFFIC_ROUTE_METRICS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_METRICS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace citronwick {

class routing_plane;

/// Counters and latency histograms of a router that serves routes, in the
/// Prometheus format. Label values are service names and fixed words, never
/// teams, routes or requests, which bounds the number of time series.
class route_metrics {
public:
    route_metrics();
    route_metrics(const route_metrics&) = delete;
    route_metrics& operator=(const route_metrics&) = delete;
    ~route_metrics();

    /// Counts a completed request.
    /// @param result "answered", a failure, or the problem type of the refusal
    void count_request(std::string_view service, std::string_view result, duration elapsed);

    /// Counts an attempt to send a request to an upstream.
    void count_attempt(std::string_view service, std::string_view outcome, duration elapsed);

    /// Counts a request for a permit to send to a rate-limited upstream.
    void count_permit(std::string_view service, std::string_view decision);

    /// Counts a decision on a request for a cold upstream.
    /// @param decision "sent", "no place" if the upstream became cold before the request was sent, or
    ///        "refused" if all upstreams are cold
    void count_cold_send(std::string_view service, std::string_view decision);

    /// Counts a new connection to an upstream.
    void count_connection(std::string_view service);

    /// Counts prompt tokens that an upstream is told to fetch from another one's cache.
    void count_fetch(std::string_view service, std::uint32_t tokens);

    /// Counts a run of a stream on one upstream, by its end.
    /// @param continues whether events of another run were relayed before
    void count_stream_run(std::string_view service, bool continues, std::string_view end);

    /// Counts a run that ended before its stream did although its connection was closed in order.
    /// @param process_lives whether the upstream's process is known to have outlived the connection
    void count_early_end(std::string_view service, bool process_lives);

    /// Counts responses that an upstream sent to other requests than the one under way.
    void count_skipped_responses(std::string_view service, int count);

    /// Counts the end of a caller's connection, by its cause.
    void count_connection_end(std::string_view cause);

    /// Renders the metrics page, with the control plane's current values.
    std::string page(const routing_plane& plane);

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace citronwick

#endif
