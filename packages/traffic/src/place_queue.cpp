#include "place_queue.hpp"

#include <iterator>
#include <utility>

namespace citronwick {

namespace {

/// Weight of one request in the average time.
constexpr int averaging_weight = 16;

} // namespace

place_queue::ticket::ticket(std::shared_ptr<place_queue> queue, const asio::any_io_executor& executor,
                            std::uint32_t priority, std::size_t most)
    : queue_{std::move(queue)}, timer_{executor}, position_{queue_->waiting_.emplace(priority, this)} {
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

bool place_queue::ticket::is_next() const {
    return is_queued_ && position_ == queue_->waiting_.begin();
}

bool place_queue::has_before(std::uint32_t priority) const {
    return !waiting_.empty() && waiting_.begin()->first <= priority;
}

void place_queue::record_held(duration held) {
    mean_held_ += (held - mean_held_) / averaging_weight;
}

void place_queue::wake_next() {
    if (!waiting_.empty()) {
        waiting_.begin()->second->timer_.cancel();
    }
}

} // namespace citronwick
