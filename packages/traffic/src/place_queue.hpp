#ifndef CITRONWICK_TRAFFIC_PLACE_QUEUE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PLACE_QUEUE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/policy/recent_rate.hpp"
#include "citronwick/policy/room_shortage.hpp"

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace citronwick {

/// Requests of one traffic thread that wait for a place on a service's upstreams, sorted by
/// `place_order` and then by arrival.
class place_queue {
public:
    /// One waiting request. It leaves the queue at its end. It shares the queue, as requests that still
    /// wait when a traffic thread stops are destroyed after what the thread's requests have in common.
    class ticket {
    public:
        /// Adds a request. If the queue is full, the last one leaves it, which may be this one.
        /// @param most number of requests that may wait
        ticket(std::shared_ptr<place_queue> queue, const asio::any_io_executor& executor, place_order order,
               std::size_t most);
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;
        ~ticket();

        /// Waits until a place may be free, or until some time.
        task<void> wait(time_point until);

        /// Moves the request behind those that are in time, if it is not there yet.
        void mark_late();

        /// Whether the request still waits, and is the next.
        bool is_queued() const { return is_queued_; }
        bool is_next() const;

    private:
        friend class place_queue;

        void leave();

        std::shared_ptr<place_queue> queue_;
        asio::steady_timer timer_;
        std::multimap<place_order, ticket*>::iterator position_;
        bool is_queued_ = true;
    };

    /// Whether requests wait that come before a new one.
    bool has_before(const place_order& order) const;

    /// Records that a request was served, and for how long it had its place.
    void record_served(duration held, time_point now);

    /// Requests a second that were served lately.
    double served_per_second(time_point now) { return served_.per_second(now); }

    /// Lets the next request look for a place.
    void wake_next();

    /// Whether other routers may be asked for a place now.
    bool may_borrow(time_point now) const { return now >= borrow_at_; }

    /// Records whether other routers lent a place. While they have none, they are asked ever more rarely.
    void record_borrowing(bool is_lent, time_point now);

    /// Average time for which requests have a place.
    duration mean_held() const { return mean_held_; }

private:
    std::multimap<place_order, ticket*> waiting_;
    time_point borrow_at_;        ///< time from which other routers may be asked
    duration borrow_interval_{0}; ///< doubled with each time that they have no place
    recent_rate served_;
    duration mean_held_{std::chrono::milliseconds{100}};
};

} // namespace citronwick

#endif
