#ifndef CITRONWICK_TESTS_SOAK_KEEP_ALIVE_CLIENT_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_KEEP_ALIVE_CLIENT_HPP_INCLUDED

#include "http_call.hpp"

#include <memory>

namespace citronwick::soak {

/// HTTP client that reuses its connection until the peer closes it.
class keep_alive_client {
public:
    explicit keep_alive_client(endpoint peer);
    keep_alive_client(const keep_alive_client&) = delete;
    keep_alive_client& operator=(const keep_alive_client&) = delete;
    ~keep_alive_client();

    /// Sends a request, after connecting if no connection is open.
    harness::reply send(const harness::call& request);

private:
    struct connection;
    endpoint peer_;
    std::unique_ptr<connection> connection_;
};

} // namespace citronwick::soak

#endif
