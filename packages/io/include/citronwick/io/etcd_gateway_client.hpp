#ifndef CITRONWICK_IO_ETCD_GATEWAY_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_ETCD_GATEWAY_CLIENT_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/io/kv_client.hpp"

#include <chrono>
#include <memory>
#include <vector>

namespace citronwick {

/// Client of a key-value service that speaks the etcd v3 JSON gateway.
/// @param servers tried in turn when one does not answer
/// @param timeout of one call
std::unique_ptr<kv_client> make_etcd_gateway_client(const asio::any_io_executor& executor,
                                                    std::vector<endpoint> servers,
                                                    std::chrono::milliseconds timeout);

} // namespace citronwick

#endif
