#include "citronwick/traffic/chat_server.hpp"

#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/chat_handler.hpp"
#include "citronwick/traffic/connection_end.hpp"
#include "citronwick/traffic/service_handler.hpp"
#include "citronwick/traffic/traffic_context.hpp"

#include <algorithm>
#include <array>

namespace citronwick {

request_server::~request_server() = default;

namespace {

/// Handler of the requests whose path begins with a prefix.
struct path_handler {
    std::string_view prefix;
    task<void> (*serve)(thread_context&, caller&, const http_request&);
};

constexpr std::array path_handlers{
    path_handler{"/v1/chat/completions", &serve_chat},
    path_handler{"/services/", &serve_service},
};

/// State shared by the servers of all traffic threads.
struct shared_state {
    shared_state(const traffic_settings& settings, control_plane& control, metrics& counters)
        : admission_control{control, counters},
          context{control, settings, counters, admission_control, suspect_mutex} {}

    admission admission_control;
    async_mutex suspect_mutex;
    traffic_context context;
};

class chat_server final : public request_server {
public:
    chat_server(std::shared_ptr<shared_state> shared, const asio::any_io_executor& executor)
        : shared_{std::move(shared)},
          thread_{shared_->context, {executor, shared_->context.settings.pooled_connection_age}, {}} {}

    request_limits limits() const override {
        const traffic_settings& settings = shared_->context.settings;
        return {settings.header_bytes, settings.body_bytes, settings.caller_read_timeout,
                settings.caller_idle_timeout};
    }

    task<void> serve(caller& from, http_request request, buffer_reservation& /*buffers*/) override {
        const std::string_view target = request.target();
        const auto* const found = std::ranges::find_if(
            path_handlers, [target](const path_handler& each) { return target.starts_with(each.prefix); });
        if (found == path_handlers.end()) {
            problem refusal{404, "unknown-path", "nothing is served at this path"};
            co_await from.refuse(std::move(refusal));
        } else {
            co_await found->serve(thread_, from, request);
        }
    }

    void count_connection_end(connection_end cause) override {
        shared_->context.counters.count_connection_end(to_text(cause));
    }

private:
    std::shared_ptr<shared_state> shared_;
    thread_context thread_;
};

} // namespace

request_server_factory make_chat_servers(const traffic_settings& settings, control_plane& control,
                                         metrics& counters) {
    return [shared = std::make_shared<shared_state>(settings, control, counters)](
               const asio::any_io_executor& executor) -> std::unique_ptr<request_server> {
        return std::make_unique<chat_server>(shared, executor);
    };
}

} // namespace citronwick
