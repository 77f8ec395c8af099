#include "citronwick/core/store_position.hpp"

namespace citronwick {

std::string to_text(const store_position& position) {
    return std::to_string(position.era) + ":" + std::to_string(position.revision);
}

} // namespace citronwick
