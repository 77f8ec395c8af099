#include "citronwick/policy/retry_delay.hpp"

#include <algorithm>

namespace citronwick {

duration retry_delay(const retry_delays& delays, int failures) {
    constexpr int max_doublings = 20;
    const duration delay = delays.first * (1 << std::clamp(failures - 1, 0, max_doublings));
    return std::min(delay, delays.longest);
}

} // namespace citronwick
