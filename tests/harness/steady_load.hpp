#ifndef CITRONWICK_TESTS_HARNESS_STEADY_LOAD_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_STEADY_LOAD_HPP_INCLUDED

#include "routed_fleet.hpp"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace citronwick::harness {

/// Sends requests to all routers, each from a thread of its own, until it ends.
class steady_load {
public:
    steady_load(routed_fleet& fleet, std::chrono::milliseconds pause) {
        for (std::size_t index = 0; index < fleet.routers().size(); ++index) {
            threads_.emplace_back([this, &fleet, index, pause](const std::stop_token& stop) {
                for (int count = 0; !stop.stop_requested(); ++count) {
                    const std::string attempt = "l" + std::to_string(index) + "-" + std::to_string(count);
                    const auto status = fleet.ask(fleet.routers()[index], "/read/1", attempt).status;
                    ++(status == 200 ? served_ : refused_);
                    std::this_thread::sleep_for(pause);
                }
            });
        }
    }

    int served() const { return served_; }
    int refused() const { return refused_; }

private:
    std::atomic<int> served_{0};
    std::atomic<int> refused_{0};
    std::vector<std::jthread> threads_;
};

} // namespace citronwick::harness

#endif
