#ifndef CITRONWICK_TRAFFIC_EXCLUSIVE_TURN_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EXCLUSIVE_TURN_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <atomic>
#include <chrono>
#include <memory>

namespace citronwick {

/// Lets one coroutine at a time run a section, over all traffic threads.
class exclusive_turn {
public:
    /// Ends the turn when it goes.
    struct releaser {
        void operator()(std::atomic<bool>* taken) const { taken->store(false); }
    };
    using holder = std::unique_ptr<std::atomic<bool>, releaser>;

    /// Waits for the turn.
    /// @return null where it did not come in time
    task<holder> take(std::chrono::milliseconds timeout);

private:
    std::atomic<bool> taken_{false};
};

} // namespace citronwick

#endif
