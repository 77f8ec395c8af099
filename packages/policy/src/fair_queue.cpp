#include "citronwick/policy/fair_queue.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

fair_queue::ticket fair_queue::push(const std::string& team, double weight, time_point deadline) {
    double& team_finish = last_finish_[team];
    team_finish = std::max(team_finish, virtual_time_) + 1.0 / weight;
    const ticket issued = next_ticket_++;
    by_turn_.emplace(turn{team_finish, issued}, issued);
    entries_.emplace(issued, entry{team, team_finish, deadline});
    return issued;
}

std::optional<fair_queue::ticket> fair_queue::front() const {
    if (by_turn_.empty()) {
        return std::nullopt;
    }
    return by_turn_.begin()->second;
}

bool fair_queue::remove(ticket request) {
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return false;
    }
    virtual_time_ = std::max(virtual_time_, by_turn_.begin()->first.first);
    by_turn_.erase(turn{found->second.finish, request});
    entries_.erase(found);
    std::erase_if(last_finish_, [this](const auto& each) { return each.second <= virtual_time_; });
    return true;
}

std::vector<fair_queue::ticket> fair_queue::expire(time_point now) {
    auto late = entries_ |
                std::views::filter([now](const auto& each) { return each.second.deadline <= now; }) |
                std::views::keys;
    std::vector<ticket> expired;
    std::ranges::copy(late, std::back_inserter(expired));
    std::ranges::for_each(expired, [this](ticket each) { remove(each); });
    return expired;
}

} // namespace citronwick
