#ifndef CITRONWICK_ROUTER_ROUTER_MODE_HPP_INCLUDED
#define CITRONWICK_ROUTER_ROUTER_MODE_HPP_INCLUDED

#include "citronwick/traffic/operator_server.hpp"
#include "citronwick/traffic/request_server.hpp"

#include <cstddef>
#include <memory>

namespace citronwick {

struct router_settings;

/// What a router serves: the request servers, the operators' pages and the
/// control thread that supplies them with state.
class router_mode {
public:
    router_mode() = default;
    router_mode(const router_mode&) = delete;
    router_mode& operator=(const router_mode&) = delete;
    virtual ~router_mode();

    /// Starts the control thread.
    /// @return the address at which other routers reach this one
    virtual io_result<endpoint> start() = 0;

    virtual request_server_factory servers() = 0;
    virtual operator_pages pages() = 0;

    /// Tells the other routers that this one is leaving.
    virtual void leave() = 0;

    /// Connections that this router relays for other routers.
    virtual std::size_t relayed_connections() const = 0;

    virtual void stop() = 0;
};

/// Serves chats, and plain services by path, as a declaration with presets defines
/// them.
std::unique_ptr<router_mode> make_chat_mode(const router_settings& settings);

/// Serves the routes that are declared in the platform's store.
std::unique_ptr<router_mode> make_route_mode(const router_settings& settings);

} // namespace citronwick

#endif
