#include "citronwick/config/routing_configuration.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

routing_configuration::routing_configuration(routing_declaration declared, store_position position)
    : declared_{std::move(declared)}, position_{position}, routes_{std::exchange(declared_.routes, {})} {
    for (std::size_t index = 0; index < declared_.teams.size(); ++index) {
        for (const std::string& key : declared_.teams[index].keys) {
            team_by_key_.emplace(key, index);
        }
    }
}

const routed_service* routing_configuration::find_service(std::string_view name) const {
    const auto found = std::ranges::find(declared_.services, name, &routed_service::name);
    return found == declared_.services.end() ? nullptr : &*found;
}

const routed_team* routing_configuration::find_team(const std::string& key) const {
    const auto found = team_by_key_.find(key);
    return found == team_by_key_.end() ? nullptr : &declared_.teams[found->second];
}

} // namespace citronwick
