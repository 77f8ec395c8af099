#ifndef CITRONWICK_TRAFFIC_ROUTE_METRICS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_METRICS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace citronwick {

class routing_plane;

/// Counters and latency histograms of a router that serves routes, in the
/// Prometheus format. Labels are services and fixed words, never teams,
/// routes or requests, so their number stays small.
class route_metrics {
public:
    route_metrics();
    route_metrics(const route_metrics&) = delete;
    route_metrics& operator=(const route_metrics&) = delete;
    ~route_metrics();

    /// Counts a request that has ended.
    /// @param result "answered", or the type of the refusal
    void count_request(std::string_view service, std::string_view result, duration took);

    /// Counts a sending of a request to an upstream.
    void count_attempt(std::string_view service, std::string_view outcome, duration took);

    /// Counts a new connection to an upstream.
    void count_connection(std::string_view service);

    /// The metrics page, with the control thread's figures as of now.
    std::string page(const routing_plane& plane);

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace citronwick

#endif
