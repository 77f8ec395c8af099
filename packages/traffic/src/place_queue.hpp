#ifndef CITRONWICK_TRAFFIC_PLACE_QUEUE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PLACE_QUEUE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace citronwick {

/// Requests of one traffic thread that wait for a place on a service's brittle upstreams, the more
/// urgent ones first, and those of one priority in the order of their arrival.
class place_queue {
public:
    /// One waiting request. It leaves the queue at its end. It shares the queue, as requests that still
    /// wait when a traffic thread stops are destroyed after what the thread's requests have in common.
    class ticket {
    public:
        /// Adds a request. If the queue is full, the last one leaves it, which may be this one.
        /// @param priority 0 is the highest
        /// @param most number of requests that may wait
        ticket(std::shared_ptr<place_queue> queue, const asio::any_io_executor& executor,
               std::uint32_t priority, std::size_t most);
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;
        ~ticket();

        /// Waits until a place may be free, or until some time.
        task<void> wait(time_point until);

        /// Whether the request still waits, and is the next.
        bool is_queued() const { return is_queued_; }
        bool is_next() const;

    private:
        friend class place_queue;

        void leave();

        std::shared_ptr<place_queue> queue_;
        asio::steady_timer timer_;
        std::multimap<std::uint32_t, ticket*>::iterator position_;
        bool is_queued_ = true;
    };

    /// Whether requests wait that come before one of this priority.
    bool has_before(std::uint32_t priority) const;

    /// Records for how long a request had its place.
    void record_held(duration held);

    /// Lets the next request look for a place.
    void wake_next();

    /// Whether other routers may be asked for a place now.
    bool may_borrow(time_point now) const { return now >= borrow_at_; }

    /// Records whether other routers lent a place. While they have none, they are asked ever more rarely.
    void record_borrowing(bool is_lent, time_point now);

    /// Average time for which requests have a place.
    duration mean_held() const { return mean_held_; }

private:
    std::multimap<std::uint32_t, ticket*> waiting_; ///< by priority
    time_point borrow_at_;                          ///< time from which other routers may be asked
    duration borrow_interval_{0};                   ///< doubled with each time that they have no place
    duration mean_held_{std::chrono::milliseconds{100}};
};

} // namespace citronwick

#endif
