#ifndef CITRONWICK_TRAFFIC_REQUEST_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REQUEST_SERVER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace citronwick {

class buffer_reservation;
class caller;
enum class connection_end : std::uint8_t;

/// Size and time limits on the requests of a connection.
struct request_limits {
    std::uint32_t header_bytes = 16'384;
    std::uint32_t body_bytes = 4'194'304;
    std::chrono::milliseconds read_timeout{10'000}; ///< for a whole header, and for a whole body
    std::chrono::milliseconds idle_timeout{60'000}; ///< wait for the next request
};

/// Serves the requests that arrive on one traffic thread. Each product interface
/// (chats, routes) implements it.
class request_server {
public:
    request_server() = default;
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;
    virtual ~request_server();

    virtual request_limits limits() const = 0;

    /// Handles one request and responds to its caller.
    /// @param buffers counts what the request buffers; its body is counted already
    virtual task<void> serve(caller& from, http_request request, buffer_reservation& buffers) = 0;

    /// Counts the end of a caller's connection.
    virtual void count_connection_end(connection_end cause) = 0;
};

/// Creates the server of the traffic thread that runs the executor.
using request_server_factory =
    std::function<std::unique_ptr<request_server>(const asio::any_io_executor& executor)>;

} // namespace citronwick

#endif
