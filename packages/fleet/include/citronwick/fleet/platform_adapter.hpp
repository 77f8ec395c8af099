#ifndef CITRONWICK_FLEET_PLATFORM_ADAPTER_HPP_INCLUDED
#define CITRONWICK_FLEET_PLATFORM_ADAPTER_HPP_INCLUDED

#include "citronwick/config/routing_configuration.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/fleet/upstream_entry.hpp"
#include "citronwick/io/watched_kv_client.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace citronwick {

class request_dialect;

/// Keys of the platform's store that the fleet reads and writes.
struct store_layout {
    std::string configuration_key; ///< the declaration in force, written by operators
    std::string upstream_prefix;   ///< entries of the upstreams, written by themselves
    std::string own_prefix;        ///< free for the fleet's own entries
};

/// How one platform speaks. Adapters register themselves by name, translate
/// and decide nothing.
class platform_adapter {
public:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    virtual ~platform_adapter();

    virtual std::unique_ptr<watched_kv_client> connect_store(const asio::any_io_executor& executor,
                                                             endpoint server,
                                                             std::chrono::milliseconds timeout) const = 0;

    virtual store_layout layout() const = 0;
    virtual const request_dialect& dialect() const = 0;

    /// Page that the platform's balancer asks for readiness.
    virtual std::string_view readiness_path() const = 0;

    /// @return a `failure` where the text is no declaration
    virtual io_result<routing_declaration> decode_configuration(std::string_view text) const = 0;

    /// @param id last part of the entry's key
    /// @return a `failure` where the text names no upstream to use
    virtual io_result<upstream_entry> decode_upstream(std::string_view id, std::string_view text) const = 0;
};

} // namespace citronwick

#endif
