#ifndef CITRONWICK_IO_ETCD_GATEWAY_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_ETCD_GATEWAY_CLIENT_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/io/kv_client.hpp"

#include <chrono>
#include <memory>
#include <vector>

namespace citronwick {

/// Creates a client of the etcd v3 JSON gateway.
/// @param servers tried in turn; a failed call moves on to the next
/// @param timeout time limit for connecting, and for each send or read without progress
std::unique_ptr<kv_client> make_etcd_gateway_client(const asio::any_io_executor& executor,
                                                    std::vector<endpoint> servers,
                                                    std::chrono::milliseconds timeout);

} // namespace citronwick

#endif
