#ifndef CITRONWICK_TESTS_STANDIN_SLOT_QUEUE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_SLOT_QUEUE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace citronwick::standin {

/// Slots of a worker, and the room in which further requests wait for one.
///
/// Some time after construction the room shrinks, and a brittle worker ends if it has to refuse
/// more requests for want of room within a second than it named.
class slot_queue {
public:
    struct settings {
        std::size_t slots = 0;
        std::size_t room = 0;       ///< requests that may wait
        std::size_t later_room = 0; ///< the same after `shrinks_after`
        std::chrono::milliseconds shrinks_after{0};
        std::size_t allowed_refusals = 0; ///< a second
    };

    slot_queue(const settings& set, time_point now);

    /// Waits for a slot.
    /// @return false if there is no room
    task<bool> acquire();
    void release();

    /// Records a refusal for want of room.
    /// @return whether the worker's process has to end
    bool record_refusal(time_point now);

    /// Running, waiting and slots, as workers report them.
    std::string load_text() const;

private:
    struct waiter;

    std::size_t room(time_point now) const;

    settings settings_;
    time_point started_;
    std::size_t running_ = 0;
    std::deque<std::shared_ptr<waiter>> waiting_;
    std::deque<time_point> refusals_; ///< within the last second
};

} // namespace citronwick::standin

#endif
