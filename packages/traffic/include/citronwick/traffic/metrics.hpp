#ifndef CITRONWICK_TRAFFIC_METRICS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_METRICS_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/traffic/problem.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace citronwick {

class control_plane;

/// Prometheus metrics of one router. Labels are services, reasons and outcomes,
/// never teams or chats, to keep the number of time series small.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    void count_request(std::string_view service, outcome result, std::string_view reason);
    void count_placement(std::string_view service, std::string_view reason);
    void count_retry(std::string_view service);
    void count_prompt_tokens(std::string_view service, double prompt_tokens, double cached_tokens);
    void observe_queue_wait(std::string_view service, duration waited);

    /// Counts the end of a caller's connection, by its cause.
    void count_connection_end(std::string_view cause);

    /// Renders the metrics page, with the current values of the control thread.
    std::string page(const control_plane& control);

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace citronwick

#endif
