#ifndef CITRONWICK_CTL_SRC_ROUTER_STATUS_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_ROUTER_STATUS_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/ctl/command_options.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace citronwick {

/// View and selected metrics of one router.
struct router_status {
    endpoint address;
    io_result<boost::json::object> view; ///< content of /debug/view
    double control_bytes = 0.0;
    double prompt_tokens = 0.0;
    double cached_tokens = 0.0;
};

/// Reads the views and metrics of all routers concurrently.
std::vector<router_status> read_router_statuses(const command_options& options);

} // namespace citronwick

#endif
