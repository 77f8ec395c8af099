#include "citronwick/policy/placement.hpp"

namespace citronwick {

placement_policy::~placement_policy() = default;

} // namespace citronwick
