#ifndef CITRONWICK_TESTS_SOAK_KEEP_ALIVE_CLIENT_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_KEEP_ALIVE_CLIENT_HPP_INCLUDED

#include "http_call.hpp"

#include <memory>

namespace citronwick::soak {

/// A response, and what is known of how far its request got.
struct exchange_result {
    harness::reply response;
    bool was_sent = false; ///< whole, and the peer had not closed the connection by then
    bool reused_connection = false;
};

/// HTTP client that reuses its connection until the peer closes it.
class keep_alive_client {
public:
    explicit keep_alive_client(endpoint peer);
    keep_alive_client(const keep_alive_client&) = delete;
    keep_alive_client& operator=(const keep_alive_client&) = delete;
    ~keep_alive_client();

    /// Sends a request, after connecting if no connection is open.
    exchange_result send(const harness::call& request);

    /// Whether the last response left the connection open.
    bool is_open() const { return connection_ != nullptr; }

private:
    struct connection;
    endpoint peer_;
    std::unique_ptr<connection> connection_;
};

} // namespace citronwick::soak

#endif
