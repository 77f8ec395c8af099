#include "citronwick/policy/queue_wait.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace citronwick {

namespace {

/// Wait of a request relative to the average, by priority.
constexpr std::array wait_factors{0.5, 1.0, 2.0};

} // namespace

duration queue_wait(duration average_wait, std::uint32_t priority) {
    const double factor = wait_factors.at(std::min<std::size_t>(priority, wait_factors.size() - 1));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{average_wait} * factor);
}

} // namespace citronwick
