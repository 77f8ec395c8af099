#ifndef CITRONWICK_TRAFFIC_SERVICE_HANDLER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_SERVICE_HANDLER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

namespace citronwick {

class caller;
struct thread_context;

/// Serves `/services/<name>/...`. Calls that may be repeated are retried
/// within the budget; others are sent once, under a claim where they carry
/// a key.
task<void> serve_service(thread_context& thread, caller& from, const http_request& request);

} // namespace citronwick

#endif
