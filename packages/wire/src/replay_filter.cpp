#include "citronwick/wire/replay_filter.hpp"

namespace citronwick::wire {

bool replay_filter::accept(const header& from) {
    const position received{from.incarnation, from.sequence};
    position& newest = newest_[from.sender];
    if (received <= newest) {
        return false;
    }
    newest = received;
    return true;
}

} // namespace citronwick::wire
