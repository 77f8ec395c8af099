#ifndef CITRONWICK_TRAFFIC_REPLY_SLOT_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REPLY_SLOT_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace citronwick {

/// Passes one value from another thread to a coroutine that waits on a timer.
///
/// The other thread may keep the slot for longer than the coroutine and its event loop
/// exist, so the slot owns nothing of theirs and does not use the timer once detached.
template <class Value>
class reply_slot : public std::enable_shared_from_this<reply_slot<Value>> {
public:
    explicit reply_slot(boost::asio::steady_timer& timer) : timer_{&timer} {}

    /// Stores the value and ends the wait. Does nothing after `detach`. Any thread may call it.
    void set(Value value) {
        const std::scoped_lock lock{mutex_};
        if (timer_ == nullptr || value_) {
            return;
        }
        value_.emplace(std::move(value));
        boost::asio::post(timer_->get_executor(), [self = this->shared_from_this()] { self->end_wait(); });
    }

    /// The value, if it came in time.
    std::optional<Value> take() {
        const std::scoped_lock lock{mutex_};
        return std::exchange(value_, std::nullopt);
    }

    /// Called by the coroutine before its timer is destroyed.
    void detach() {
        const std::scoped_lock lock{mutex_};
        timer_ = nullptr;
    }

private:
    void end_wait() {
        const std::scoped_lock lock{mutex_};
        if (timer_ != nullptr) {
            // Also ends a wait that has not begun yet.
            timer_->expires_at(time_point::min());
        }
    }

    std::mutex mutex_;
    boost::asio::steady_timer* timer_;
    std::optional<Value> value_;
};

/// Detaches a slot at the end of its coroutine, also if that is destroyed while it waits.
template <class Value>
class slot_detacher {
public:
    explicit slot_detacher(std::shared_ptr<reply_slot<Value>> slot) : slot_{std::move(slot)} {}
    slot_detacher(const slot_detacher&) = delete;
    slot_detacher& operator=(const slot_detacher&) = delete;
    ~slot_detacher() { slot_->detach(); }

private:
    std::shared_ptr<reply_slot<Value>> slot_;
};

} // namespace citronwick

#endif
