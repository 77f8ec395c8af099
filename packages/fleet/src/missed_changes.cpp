#include "citronwick/fleet/missed_changes.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time that forwarded changes may take to arrive.
constexpr duration forwarding_time = 100ms;
/// Shortest interval between two questions.
constexpr duration question_interval = 200ms;

} // namespace

void missed_changes::record_position(std::uint64_t router, store_position theirs, store_position own,
                                     time_point now) {
    if (theirs <= own) {
        return;
    }
    if (missed_ <= own) {
        missed_ = theirs;
        missed_since_ = now;
    }
    if (newest_ <= own || theirs >= newest_) {
        newest_ = theirs;
        router_ = router;
    }
}

std::optional<std::uint64_t> missed_changes::router_to_ask(store_position own, time_point now) {
    if (missed_ <= own || now - missed_since_ < forwarding_time || now - asked_at_ < question_interval) {
        return std::nullopt;
    }
    asked_at_ = now;
    return router_;
}

} // namespace citronwick
