#ifndef CITRONWICK_POLICY_FAIR_QUEUE_HPP_INCLUDED
#define CITRONWICK_POLICY_FAIR_QUEUE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

/// Weighted fair queue of requests by team, with deadlines.
///
/// Each request is stamped with a virtual finish time, so a team's surge
/// lengthens its own wait and leaves the other teams' turns where they were.
class fair_queue {
public:
    using ticket = std::uint64_t;

    /// Adds a request.
    /// @param weight share of the team, greater than zero
    ticket push(const std::string& team, double weight, time_point deadline);

    /// Ticket whose turn is next; it stays queued.
    std::optional<ticket> front() const;

    /// Removes a request, whether served, expired or withdrawn.
    /// @return false where it was not queued
    bool remove(ticket request);

    /// Removes requests whose deadline has passed.
    std::vector<ticket> expire(time_point now);

    std::size_t size() const { return by_turn_.size(); }

private:
    struct entry {
        std::string team;
        double finish = 0.0;
        time_point deadline;
    };
    using turn = std::pair<double, ticket>;

    std::map<turn, ticket> by_turn_;
    std::map<ticket, entry> entries_;
    std::map<std::string, double> last_finish_;
    double virtual_time_ = 0.0;
    ticket next_ticket_ = 1;
};

} // namespace citronwick

#endif
