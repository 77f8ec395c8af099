#ifndef CITRONWICK_TRAFFIC_REPLY_WAITER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REPLY_WAITER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"
#include "reply_slot.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace citronwick {

/// Waits on a traffic thread for what the control thread hears from another router.
/// @param ask starts the request; the callback that it gets may be called on any thread, or
///        never, and may be kept for longer than the traffic thread lives
/// @return none if no reply came in time
template <class Reply>
task<std::optional<Reply>> wait_for_reply(duration timeout,
                                          std::function<void(std::function<void(Reply)>)> ask) {
    asio::steady_timer timer{co_await asio::this_coro::executor, timeout};
    const auto slot = std::make_shared<reply_slot<Reply>>(timer);
    const slot_detacher<Reply> detacher{slot};
    ask([slot](Reply reply) { slot->set(std::move(reply)); });
    co_await timer.async_wait(use_tuple);
    co_return slot->take();
}

} // namespace citronwick

#endif
