#include "permit_waiter.hpp"

#include "citronwick/fleet/routing_plane.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest wait for the coordinator, which is in the same failure domain.
constexpr duration reply_timeout = 60ms;

struct pending_reply {
    explicit pending_reply(const asio::any_io_executor& executor) : timer{executor, reply_timeout} {}

    asio::steady_timer timer;
    std::optional<permit_decision> decision;
};

} // namespace

task<std::optional<permit_decision>> acquire_permit(routing_plane& plane, std::uint64_t upstream,
                                                    double saving_ms) {
    const auto executor = co_await asio::this_coro::executor;
    const auto pending = std::make_shared<pending_reply>(executor);
    plane.request_permit(upstream, saving_ms, [pending, executor](permit_decision decision) {
        asio::post(executor, [pending, decision] {
            pending->decision = decision;
            // Also ends a wait that has not begun yet.
            pending->timer.expires_at(time_point::min());
        });
    });
    co_await pending->timer.async_wait(use_tuple);
    co_return pending->decision;
}

} // namespace citronwick
