#include "slot_queue.hpp"

#include <boost/asio/steady_timer.hpp>

namespace citronwick::standin {

struct slot_queue::waiter {
    explicit waiter(const asio::any_io_executor& executor) : timer{executor, time_point::max()} {}

    asio::steady_timer timer;
};

slot_queue::slot_queue(const settings& set, time_point now) : settings_{set}, started_{now} {}

std::size_t slot_queue::room(time_point now) const {
    return now - started_ < settings_.shrinks_after ? settings_.room : settings_.later_room;
}

task<bool> slot_queue::acquire() {
    if (running_ < settings_.slots) {
        ++running_;
        co_return true;
    }
    if (waiting_.size() >= room(clock::now())) {
        co_return false;
    }
    const auto executor = co_await asio::this_coro::executor;
    const auto entry = std::make_shared<waiter>(executor);
    waiting_.push_back(entry);
    // The slot of the request that ends passes to this one.
    co_await entry->timer.async_wait(use_tuple);
    co_return true;
}

void slot_queue::release() {
    if (waiting_.empty()) {
        --running_;
        return;
    }
    waiting_.front()->timer.cancel();
    waiting_.pop_front();
}

bool slot_queue::record_refusal(time_point now) {
    using namespace std::chrono_literals;
    std::erase_if(refusals_, [now](time_point at) { return now - at >= 1s; });
    refusals_.push_back(now);
    return now - started_ >= settings_.shrinks_after && refusals_.size() > settings_.allowed_refusals;
}

std::string slot_queue::load_text() const {
    return std::to_string(running_) + "," + std::to_string(waiting_.size()) + "," +
           std::to_string(settings_.slots);
}

} // namespace citronwick::standin
