#ifndef CITRONWICK_TRAFFIC_AWAIT_ON_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_AWAIT_ON_HPP_INCLUDED

#include "citronwick/io/task.hpp"
#include "reply_slot.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

namespace citronwick {

/// Result of a task on another thread.
template <class Value>
struct remote_result {
    std::exception_ptr exception;
    std::optional<Value> value;
};

/// Completion handler that passes the result of a task to the thread that waits for it.
/// A task that is destroyed before its end counts as failed.
template <class Value>
class result_sender {
public:
    using slot = reply_slot<remote_result<Value>>;

    explicit result_sender(std::shared_ptr<slot> target) : target_{std::move(target)} {}
    result_sender(result_sender&&) noexcept = default;
    result_sender(const result_sender&) = delete;
    result_sender& operator=(const result_sender&) = delete;
    result_sender& operator=(result_sender&&) = delete;
    ~result_sender() {
        if (target_) {
            target_->set({std::make_exception_ptr(std::runtime_error{"the awaited task was destroyed"}), {}});
        }
    }

    void operator()(const std::exception_ptr& exception, Value value) {
        std::exchange(target_, nullptr)->set({exception, std::move(value)});
    }

private:
    std::shared_ptr<slot> target_;
};

/// Runs a task on another thread's executor and waits for its result on the own one.
///
/// Unlike `co_spawn` with `use_awaitable`, the other thread never owns the waiting
/// coroutine, so each of the two event loops may be destroyed before the other.
/// @throws the exception that ended the task
template <class Value>
task<Value> await_on(asio::any_io_executor other, task<Value> work) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time_point::max()};
    const auto slot = std::make_shared<reply_slot<remote_result<Value>>>(timer);
    const slot_detacher<remote_result<Value>> detacher{slot};
    asio::co_spawn(other, std::move(work), result_sender<Value>{slot});
    std::optional<remote_result<Value>> result;
    while (!result) {
        co_await timer.async_wait(use_tuple);
        result = slot->take();
    }
    if (result->exception) {
        std::rethrow_exception(result->exception);
    }
    co_return std::move(*result->value);
}

} // namespace citronwick

#endif
