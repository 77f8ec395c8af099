#include "citronwick/policy/fair_queue.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

fair_queue::ticket fair_queue::push(const std::string& team, double weight, time_point deadline) {
    double& team_finish = last_finish_[team];
    team_finish = std::max(team_finish, virtual_time_) + 1.0 / weight;
    const ticket new_ticket = next_ticket_++;
    by_finish_.emplace(service_position{team_finish, new_ticket}, new_ticket);
    entries_.emplace(new_ticket, entry{team, team_finish, deadline});
    return new_ticket;
}

std::optional<fair_queue::ticket> fair_queue::front() const {
    if (by_finish_.empty()) {
        return std::nullopt;
    }
    return by_finish_.begin()->second;
}

bool fair_queue::remove(ticket request) {
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return false;
    }
    virtual_time_ = std::max(virtual_time_, by_finish_.begin()->first.first);
    by_finish_.erase(service_position{found->second.finish, request});
    entries_.erase(found);
    std::erase_if(last_finish_, [this](const auto& each) { return each.second <= virtual_time_; });
    return true;
}

std::vector<fair_queue::ticket> fair_queue::expire(time_point now) {
    auto overdue = entries_ |
                   std::views::filter([now](const auto& each) { return each.second.deadline <= now; }) |
                   std::views::keys;
    std::vector<ticket> expired;
    std::ranges::copy(overdue, std::back_inserter(expired));
    std::ranges::for_each(expired, [this](ticket each) { remove(each); });
    return expired;
}

} // namespace citronwick
