#ifndef CITRONWICK_ROUTER_PRODUCT_INTERFACE_HPP_INCLUDED
#define CITRONWICK_ROUTER_PRODUCT_INTERFACE_HPP_INCLUDED

#include "citronwick/traffic/operator_server.hpp"
#include "citronwick/traffic/request_server.hpp"

#include <memory>

namespace citronwick {

struct router_settings;

/// What a router serves its callers, with the control thread behind it.
class product_interface {
public:
    product_interface() = default;
    product_interface(const product_interface&) = delete;
    product_interface& operator=(const product_interface&) = delete;
    virtual ~product_interface();

    /// Starts the control thread.
    /// @return the address for other routers
    virtual io_result<endpoint> start() = 0;

    virtual request_server_factory servers() = 0;
    virtual operator_pages pages() = 0;

    /// Tells the other routers that this one is leaving.
    virtual void leave() = 0;
    virtual void stop() = 0;
};

/// Chats and plain services by path, as declared in a file of presets.
std::unique_ptr<product_interface> make_chat_interface(const router_settings& settings);

/// Routes that are declared in the platform's store.
std::unique_ptr<product_interface> make_route_interface(const router_settings& settings);

} // namespace citronwick

#endif
