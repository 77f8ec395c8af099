#ifndef CITRONWICK_TRAFFIC_DIRECT_CONNECT_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_DIRECT_CONNECT_HPP_INCLUDED

#include "citronwick/io/task.hpp"
#include "citronwick/policy/upstream_reach.hpp"

#include <boost/system/error_code.hpp>
#include <chrono>

namespace citronwick {

/// Connects to an upstream directly, sends nothing and waits a moment for a reset, as a connection
/// may be established and then not accepted.
/// @param timeout for the connect
/// @return why no connection was accepted
task<boost::system::error_code> try_direct_connect(endpoint address, std::chrono::milliseconds timeout);

/// How a connect failed, from its error.
upstream_reach::connect_failure connect_failure_of(const boost::system::error_code& error);

} // namespace citronwick

#endif
