#ifndef CITRONWICK_POLICY_ROUTE_HPP_INCLUDED
#define CITRONWICK_POLICY_ROUTE_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Determines whether a request may be repeated or resumed.
enum class request_kind : std::uint8_t {
    idempotent,       ///< may run more than once
    non_idempotent,   ///< runs at most once
    stream,           ///< answered by an event stream; runs at most once
    resumable_stream, ///< answered by an event stream; another upstream may resume it after the last event
};

std::string_view to_text(request_kind value);

/// Whether a request that may already have run may be sent again.
bool is_repeatable(request_kind kind);

/// Whether requests of this kind are answered by an event stream.
bool is_stream(request_kind kind);

/// Service that receives a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

/// Maps requests for a host and path prefix to services.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    std::vector<weighted_service> services;
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{30'000};       ///< maximum time until the caller gets a response
    std::chrono::milliseconds target_latency{1'000}; ///< to the response or a stream's first event
    /// Time after which callers give up a stream whose first event has not come.
    std::chrono::milliseconds patience = std::chrono::milliseconds::max();
    std::uint32_t attempts = 1; ///< maximum number of upstreams that may run one request
    std::uint32_t priority = 0; ///< 0 is the highest priority
    bool anonymous = false;     ///< no team key is required
    bool uses_context = false;  ///< prompts share prefixes that upstreams cache
};

} // namespace citronwick

#endif
