#ifndef CITRONWICK_ROUTER_ROUTER_HPP_INCLUDED
#define CITRONWICK_ROUTER_ROUTER_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <functional>

namespace citronwick {

struct router_settings;

/// Runs a router until SIGTERM or SIGINT, then drains it: /readyz fails, the
/// fleet hears that it leaves, the listener stays open for the balancer's lag,
/// and requests in flight end before it returns.
/// @param reload called at each SIGHUP
io_result<void> run_router(const router_settings& settings, std::function<void()> reload);

} // namespace citronwick

#endif
