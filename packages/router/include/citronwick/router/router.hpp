#ifndef CITRONWICK_ROUTER_ROUTER_HPP_INCLUDED
#define CITRONWICK_ROUTER_ROUTER_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

namespace citronwick {

struct router_settings;
class signal_listener;

/// Runs a router until SIGTERM or SIGINT, then drains it: /readyz fails, the other
/// routers are told that it leaves, the listener stays open for `balancer_lag`, and
/// requests in flight finish before the function returns, up to the drain limit.
/// Returns at once if the stop signal comes before the router has started.
io_result<void> run_router(const router_settings& settings, signal_listener& signals);

} // namespace citronwick

#endif
