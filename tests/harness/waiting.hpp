#ifndef CITRONWICK_TESTS_HARNESS_WAITING_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_WAITING_HPP_INCLUDED

#include <chrono>
#include <thread>

namespace citronwick::harness {

/// Polls a condition until it is true.
/// @return false if it was not true before the timeout
template <class Condition>
bool wait_until(Condition condition, std::chrono::milliseconds timeout = std::chrono::seconds{10}) {
    constexpr std::chrono::milliseconds interval{5};
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(interval);
    }
    return true;
}

} // namespace citronwick::harness

#endif
