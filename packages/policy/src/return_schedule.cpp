#include "citronwick/policy/return_schedule.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds earliest_return = 100ms;
/// Callers do not wait much longer than this before they give up.
constexpr std::chrono::milliseconds latest_return = 2s;

} // namespace

std::chrono::milliseconds return_schedule::next(double rate, time_point now) {
    const std::chrono::duration<double> interval{1.0 / std::max(rate, 1.0 / 60.0)};
    const auto step = std::min<duration>(std::chrono::duration_cast<duration>(interval), latest_return);
    last_return_at_ = std::clamp<time_point>(std::max(last_return_at_, now) + step, now + earliest_return,
                                             now + latest_return);
    return std::chrono::ceil<std::chrono::milliseconds>(last_return_at_ - now);
}

} // namespace citronwick
