#ifndef CITRONWICK_TRAFFIC_SERVICE_HANDLER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_SERVICE_HANDLER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

namespace citronwick {

class caller;
struct thread_context;

/// Serves `/services/<name>/...`. Requests whose method is repeatable are
/// retried within the retry budget. Others are sent at most once, and those
/// with an idempotency key under a claim on that key.
task<void> serve_service(thread_context& thread, caller& from, const http_request& request);

} // namespace citronwick

#endif
