#include "place_queue.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <memory>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("the most urgent request is next for a place, and the last one leaves a queue that is full") {
    asio::io_context context;
    const auto queue = std::make_shared<place_queue>();
    const place_queue::ticket first{queue, context.get_executor(), {.priority = 1}, 2};
    const place_queue::ticket second{queue, context.get_executor(), {.priority = 1}, 2};
    CHECK(first.is_next());
    CHECK(queue->has_before({.priority = 1}));
    CHECK_FALSE(queue->has_before({.priority = 0}));
    const place_queue::ticket urgent{queue, context.get_executor(), {.priority = 0}, 2};
    CHECK(urgent.is_next());
    CHECK(first.is_queued());
    CHECK_FALSE(second.is_queued());
    const place_queue::ticket late{queue, context.get_executor(), {.priority = 2}, 2};
    CHECK_FALSE(late.is_queued());
}

TEST_CASE("requests beyond their share, and those that are late, wait behind equally urgent ones") {
    asio::io_context context;
    const auto queue = std::make_shared<place_queue>();
    constexpr std::size_t most = 9;
    place_queue::ticket old{queue, context.get_executor(), {.priority = 1}, most};
    const place_queue::ticket beyond{
        queue, context.get_executor(), {.priority = 1, .is_beyond_share = true}, most};
    const place_queue::ticket within{queue, context.get_executor(), {.priority = 1}, most};
    CHECK(old.is_next());
    old.mark_late();
    CHECK(within.is_next());
    CHECK(queue->has_before({.priority = 1, .is_beyond_share = true}));
    const place_queue::ticket urgent{queue, context.get_executor(), {.priority = 0, .is_late = true}, most};
    CHECK(urgent.is_next());
}

TEST_CASE("a queue tells how many requests a second were served lately") {
    place_queue queue;
    const time_point start{1h};
    for (int number = 0; number < 40; ++number) {
        queue.record_served(50ms, start + number * 100ms);
    }
    CHECK(queue.served_per_second(start + 3900ms) == doctest::Approx(10.0).epsilon(0.1));
    CHECK(queue.served_per_second(start + 10s) == 0.0);
}

TEST_CASE("a request that waits for a place may outlive what the requests of its thread share") {
    asio::io_context context;
    auto queue = std::make_shared<place_queue>();
    const std::weak_ptr<place_queue> observed = queue;
    {
        const place_queue::ticket ticket{queue, context.get_executor(), {.priority = 1}, 2};
        queue.reset();
        CHECK_FALSE(observed.expired());
    }
    CHECK(observed.expired());
}

TEST_CASE("other routers are asked for places ever more rarely while they have none") {
    place_queue queue;
    time_point now{1h};
    const auto refusals_in = [&](duration time) {
        int refusals = 0;
        for (const auto end = now + time; now < end; now += 1ms) {
            if (queue.may_borrow(now)) {
                queue.record_borrowing(false, now);
                ++refusals;
            }
        }
        return refusals;
    };
    CHECK(refusals_in(200ms) > 2);
    CHECK(refusals_in(1600ms) <= 10);
    queue.record_borrowing(true, now);
    CHECK(queue.may_borrow(now));
}
