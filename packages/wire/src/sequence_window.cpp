#include "citronwick/wire/sequence_window.hpp"

namespace citronwick::wire {

bool sequence_window::accept(const header& from) {
    position& known = senders_[from.sender];
    if (from.incarnation < known.incarnation) {
        return false;
    }
    if (from.incarnation > known.incarnation) {
        known = {.incarnation = from.incarnation, .newest = 0, .seen = {}};
    }
    if (from.sequence > known.newest) {
        const std::uint32_t distance = from.sequence - known.newest;
        known.seen = distance < size ? known.seen << distance : std::bitset<size>{};
        known.newest = from.sequence;
        known.seen.set(0);
        return true;
    }
    const std::uint32_t distance = known.newest - from.sequence;
    if (distance >= size || known.seen.test(distance)) {
        return false;
    }
    known.seen.set(distance);
    return true;
}

} // namespace citronwick::wire
