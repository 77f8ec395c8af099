#ifndef CITRONWICK_TRAFFIC_PROBLEM_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PROBLEM_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// What became of a request, as reported to its caller.
enum class outcome : std::uint8_t {
    complete, ///< the response is complete
    not_run,  ///< no upstream has acted on the request
    unknown   ///< an upstream may have acted on it
};

std::string_view to_text(outcome value);

/// Refusal or failure that is reported to a caller as an RFC 9457 problem document.
struct problem {
    unsigned status = 500;
    std::string_view type; ///< last part of the type URI, such as "queue-full"
    std::string detail;
    outcome result = outcome::not_run;
    std::optional<std::chrono::milliseconds> retry_after{};
};

/// Serializes the problem as application/problem+json.
std::string to_json(const problem& value, std::string_view request_id);

} // namespace citronwick

#endif
