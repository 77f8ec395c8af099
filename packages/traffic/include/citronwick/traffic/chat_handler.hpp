#ifndef CITRONWICK_TRAFFIC_CHAT_HANDLER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CHAT_HANDLER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

namespace citronwick {

class caller;
struct thread_context;

/// Serves `POST /v1/chat/completions`: places the request on an upstream and
/// relays the response as it arrives. The caller receives a complete response
/// or an error that states whether the request may have run.
task<void> serve_chat(thread_context& thread, caller& from, const http_request& request);

} // namespace citronwick

#endif
