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

/// Weighted fair queue of requests with deadlines; each team is one flow.
///
/// Each request gets a virtual finish time when it is queued. A burst from one
/// team therefore delays only that team's own requests.
class fair_queue {
public:
    using ticket = std::uint64_t;

    /// Adds a request to the queue.
    /// @param weight relative share of the team, greater than zero
    ticket push(const std::string& team, double weight, time_point deadline);

    /// The ticket to be served next, without removing it from the queue.
    std::optional<ticket> front() const;

    /// Removes a request, whether it was served, expired or cancelled.
    /// @return false if it was not queued
    bool remove(ticket request);

    /// Removes the requests whose deadline has passed and returns their tickets.
    std::vector<ticket> expire(time_point now);

    std::size_t size() const { return by_finish_.size(); }

private:
    struct entry {
        std::string team;
        double finish = 0.0; ///< virtual finish time
        time_point deadline;
    };
    using service_position = std::pair<double, ticket>; ///< virtual finish time, then arrival

    std::map<service_position, ticket> by_finish_;
    std::map<ticket, entry> entries_;
    std::map<std::string, double> last_finish_; ///< by team
    double virtual_time_ = 0.0;
    ticket next_ticket_ = 1;
};

} // namespace citronwick

#endif
