#ifndef CITRONWICK_POLICY_ROUTE_HPP_INCLUDED
#define CITRONWICK_POLICY_ROUTE_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// What may be done with a request a second time.
enum class request_kind : std::uint8_t {
    idempotent,       ///< may run any number of times
    non_idempotent,   ///< runs at most once
    stream,           ///< answered by events; runs at most once
    resumable_stream, ///< answered by events; may go on elsewhere after the last event
};

std::string_view to_text(request_kind value);

/// Whether a request of this kind may be sent again after it may have run.
bool is_repeatable(request_kind kind);

/// Whether requests of this kind are answered by a stream of events.
bool is_stream(request_kind kind);

/// Service that takes a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

/// Rule that sends the requests of a host below a path prefix to services.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    std::vector<weighted_service> services;
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{30'000};       ///< longest time that a caller is kept waiting
    std::chrono::milliseconds target_latency{1'000}; ///< to the answer, or to a stream's first event
    std::uint32_t attempts = 1;                      ///< upstreams that one request may be sent to
    std::uint32_t priority = 0;                      ///< 0 is the most urgent
    bool anonymous = false;                          ///< needs no team key
    bool uses_context = false; ///< prompts share parts that upstreams keep in their caches
};

} // namespace citronwick

#endif
