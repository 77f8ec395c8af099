#ifndef CITRONWICK_TRAFFIC_SERVE_OR_REFUSE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_SERVE_OR_REFUSE_HPP_INCLUDED

#include "citronwick/traffic/request_server.hpp"

#include <exception>

namespace citronwick {

/// Serves a request. If that ends with an exception before a response has begun, the
/// caller is told so, since a connection that closes without a response says nothing.
/// @return the exception, if any
task<std::exception_ptr> serve_or_refuse(request_server& server, caller& from, http_request request,
                                         buffer_reservation& buffers);

} // namespace citronwick

#endif
