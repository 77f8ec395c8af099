#ifndef CITRONWICK_TRAFFIC_REQUEST_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REQUEST_SERVER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace citronwick {

class caller;

/// What a caller may send, and how long it may take or stay idle.
struct request_limits {
    std::uint32_t header_bytes = 16'384;
    std::uint32_t body_bytes = 4'194'304;
    std::chrono::milliseconds read_timeout{10'000}; ///< for a header or a body
    std::chrono::milliseconds idle_timeout{60'000}; ///< between two requests
};

/// Serves the requests of one traffic thread: one interface of the product.
class request_server {
public:
    request_server() = default;
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;
    virtual ~request_server();

    virtual request_limits limits() const = 0;

    /// Answers one request.
    virtual task<void> serve(caller& from, http_request request) = 0;
};

/// Makes the server of a traffic thread that runs on an executor.
using request_server_factory =
    std::function<std::unique_ptr<request_server>(const asio::any_io_executor& executor)>;

} // namespace citronwick

#endif
