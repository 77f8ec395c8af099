#include "citronwick/policy/candidate.hpp"

#include <array>

namespace citronwick {

std::string_view to_text(availability value) {
    constexpr std::array<std::string_view, 4> names{"", "leaving", "unreachable", "excluded"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace citronwick
