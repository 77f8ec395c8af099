#ifndef CITRONWICK_CTL_SRC_ROUTER_PAGES_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_ROUTER_PAGES_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/ctl/command_options.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace citronwick {

/// One router's answer to a look at its view.
struct router_page {
    endpoint address;
    io_result<boost::json::object> view;
    double control_bytes = 0.0;
    double prompt_tokens = 0.0;
    double cached_tokens = 0.0;
};

/// Reads view and metrics of all routers at once.
std::vector<router_page> read_router_pages(const command_options& options);

} // namespace citronwick

#endif
