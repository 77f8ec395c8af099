#include "citronwick/fleet/routing_view.hpp"

#include <algorithm>

namespace citronwick {

bool routing_view::accepts_requests(std::string_view service, std::uint64_t upstream) const {
    const auto found = upstreams.find(service);
    return found != upstreams.end() &&
           std::ranges::any_of(found->second,
                               [upstream](const routed_upstream& each) { return each.hash == upstream; });
}

} // namespace citronwick
