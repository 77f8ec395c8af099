#include "citronwick/wire/replay_filter.hpp"

namespace citronwick::wire {

bool replay_filter::accept(const header& from) {
    const position at{from.incarnation, from.sequence};
    position& newest = newest_[from.sender];
    if (at <= newest) {
        return false;
    }
    newest = at;
    return true;
}

} // namespace citronwick::wire
