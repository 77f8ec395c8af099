#include "citronwick/policy/buffer_reservation.hpp"

#include "citronwick/policy/buffer_budget.hpp"

#include <numeric>

namespace citronwick {

buffer_reservation::~buffer_reservation() {
    if (held() > 0) {
        budget_.release(held());
    }
}

bool buffer_reservation::resize(buffer_part part, std::size_t bytes) {
    std::size_t& size = parts_.at(static_cast<std::size_t>(part));
    if (bytes > size && !budget_.take(held(), bytes - size)) {
        return false;
    }
    if (bytes < size) {
        budget_.release(size - bytes);
    }
    size = bytes;
    return true;
}

std::size_t buffer_reservation::held() const {
    return std::accumulate(parts_.begin(), parts_.end(), std::size_t{0});
}

} // namespace citronwick
