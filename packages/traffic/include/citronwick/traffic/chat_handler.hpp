#ifndef CITRONWICK_TRAFFIC_CHAT_HANDLER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CHAT_HANDLER_HPP_INCLUDED

#include "citronwick/io/http_connection.hpp"

namespace citronwick {

class caller;
struct thread_context;

/// Serves `POST /v1/chat/completions`: finds an engine, relays its answer as
/// it arrives, and ends in a whole answer or a refusal that says what is known.
task<void> serve_chat(thread_context& thread, caller& from, const http_request& request);

} // namespace citronwick

#endif
