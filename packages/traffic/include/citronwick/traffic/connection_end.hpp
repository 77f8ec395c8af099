#ifndef CITRONWICK_TRAFFIC_CONNECTION_END_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CONNECTION_END_HPP_INCLUDED

#include <cstdint>
#include <string_view>

namespace citronwick {

/// Why a caller's connection ended.
enum class connection_end : std::uint8_t {
    closed_by_caller,    ///< between two requests
    reset_by_caller,     ///< between two requests
    idle_timeout,        ///< the next request did not come in time
    planned_stop,        ///< the router is stopping, and no request was under way
    after_response,      ///< the response said that the connection ends
    incomplete_request,  ///< the caller's data ended within a request
    refused,             ///< the request was not readable, too large or too late
    caller_left,         ///< the caller disconnected before its response was complete
    write_timeout,       ///< the caller did not take the response in time
    write_error,         ///< the response could not be written
    incomplete_response, ///< the response broke off at the upstream
    exception,           ///< handling the request failed
};

std::string_view to_text(connection_end value);

/// Whether a request was left without a complete response.
bool leaves_request_unfinished(connection_end value);

} // namespace citronwick

#endif
