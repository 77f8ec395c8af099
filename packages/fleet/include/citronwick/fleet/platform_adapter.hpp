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
    std::string configuration_key; ///< holds the declaration in force, written by operators
    std::string upstream_prefix;   ///< of the entries that upstreams write about themselves
    std::string own_prefix;        ///< reserved for the entries of the routers
    std::string evacuation_prefix; ///< of keys that name a failure domain to which nothing may be sent
};

/// Translates between the fleet and the protocols and formats of one platform.
/// Adapters register themselves by name and make no routing decisions.
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

    /// Path at which the platform's load balancer checks readiness.
    virtual std::string_view readiness_path() const = 0;

    /// @return a `failure` if the text is not a valid declaration
    virtual io_result<routing_declaration> decode_configuration(std::string_view text) const = 0;

    /// @param id last part of the entry's key
    /// @return a `failure` if the text does not describe a usable upstream
    virtual io_result<upstream_entry> decode_upstream(std::string_view id, std::string_view text) const = 0;
};

} // namespace citronwick

#endif
