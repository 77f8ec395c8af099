#include "place_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Bounds of the interval at which the requests of one queue ask for places of other routers.
constexpr duration min_borrow_interval = 20ms;
constexpr duration max_borrow_interval = 160ms;
/// Weight of one request in the average time.
constexpr int averaging_weight = 16;

} // namespace

place_queue::ticket::ticket(std::shared_ptr<place_queue> queue, const asio::any_io_executor& executor,
                            place_order order, std::size_t most)
    : queue_{std::move(queue)}, timer_{executor}, position_{queue_->waiting_.emplace(order, this)} {
    if (queue_->waiting_.size() > most) {
        std::prev(queue_->waiting_.end())->second->leave();
    }
}

place_queue::ticket::~ticket() {
    leave();
}

void place_queue::ticket::leave() {
    if (is_queued_) {
        is_queued_ = false;
        queue_->waiting_.erase(position_);
        timer_.cancel();
    }
}

task<void> place_queue::ticket::wait(time_point until) {
    timer_.expires_at(until);
    co_await timer_.async_wait(use_tuple);
}

void place_queue::ticket::mark_late() {
    if (is_queued_ && !position_->first.is_late) {
        place_order order = position_->first;
        order.is_late = true;
        queue_->waiting_.erase(position_);
        position_ = queue_->waiting_.emplace(order, this);
    }
}

bool place_queue::ticket::is_next() const {
    return is_queued_ && position_ == queue_->waiting_.begin();
}

bool place_queue::has_before(const place_order& order) const {
    return !waiting_.empty() && waiting_.begin()->first <= order;
}

void place_queue::record_served(duration held, time_point now) {
    served_.record(now);
    mean_held_ += (held - mean_held_) / averaging_weight;
}

void place_queue::record_borrowing(bool is_lent, time_point now) {
    borrow_interval_ =
        is_lent ? duration{0} : std::clamp(2 * borrow_interval_, min_borrow_interval, max_borrow_interval);
    borrow_at_ = now + borrow_interval_;
}

void place_queue::wake_next() {
    if (!waiting_.empty()) {
        waiting_.begin()->second->timer_.cancel();
    }
}

} // namespace citronwick
