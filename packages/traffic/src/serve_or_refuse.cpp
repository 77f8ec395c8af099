#include "serve_or_refuse.hpp"

#include "citronwick/io/log.hpp"
#include "citronwick/io/unhandled_exceptions.hpp"
#include "citronwick/traffic/caller.hpp"

namespace citronwick {

task<std::exception_ptr> serve_or_refuse(request_server& server, caller& from, http_request request,
                                         buffer_reservation& buffers) {
    if (request.method() == http::verb::trace && !request.body().empty()) {
        problem refusal{400, "bad-request", "a TRACE request has no body"};
        co_await from.refuse(std::move(refusal));
        co_return nullptr;
    }
    std::exception_ptr exception;
    try {
        auto served = server.serve(from, std::move(request), buffers);
        co_await std::move(served);
    } catch (...) {
        exception = std::current_exception();
    }
    if (!exception) {
        co_return nullptr;
    }
    record_unhandled_exception("request", exception);
    // What the callback refers to has been destroyed.
    from.on_disconnect(nullptr);
    from.close_after_response();
    log_warn("request_failed", {{"request", from.request_id()},
                                {"response", from.response_started() ? "begun" : "none"},
                                {"detail", describe(exception)}});
    if (!from.response_started()) {
        problem refusal{500, "internal-error", "the router failed while it served the request",
                        outcome::unknown};
        co_await from.refuse(std::move(refusal));
    }
    co_return exception;
}

} // namespace citronwick
