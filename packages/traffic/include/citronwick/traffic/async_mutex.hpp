#ifndef CITRONWICK_TRAFFIC_ASYNC_MUTEX_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ASYNC_MUTEX_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <atomic>
#include <chrono>
#include <memory>

namespace citronwick {

/// Mutex for coroutines of all traffic threads. Waiting suspends the coroutine
/// and does not block its thread.
class async_mutex {
public:
    /// Unlocks the mutex when the guard is destroyed.
    struct unlocker {
        void operator()(std::atomic<bool>* locked) const { locked->store(false); }
    };
    using guard = std::unique_ptr<std::atomic<bool>, unlocker>;

    /// Polls until the mutex is free.
    /// @return null if the mutex could not be locked within the timeout
    task<guard> try_lock_for(std::chrono::milliseconds timeout);

private:
    std::atomic<bool> locked_{false};
};

} // namespace citronwick

#endif
