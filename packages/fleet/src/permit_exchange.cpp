#include "citronwick/fleet/permit_exchange.hpp"

#include "citronwick/fleet/upstream_limits.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <ranges>
#include <set>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Interval at which a coordinator distributes all limits, for routers that start
/// or missed a change.
constexpr duration list_interval = 1s;
/// Shortest interval between two lists, if limits change with each response.
constexpr duration changed_list_interval = 100ms;
constexpr duration rejection_report_interval = 500ms;
/// Time for which a coordinator's report of rejected requests is used.
constexpr duration rejection_lifetime = 1200ms;
/// Time after which an unanswered request for a permit is forgotten.
constexpr duration pending_lifetime = 1s;
/// Wait told to a router that takes this one for its coordinator although it is not.
constexpr duration wrong_coordinator_wait = 200ms;

std::uint8_t to_uint8(std::uint32_t value) {
    return static_cast<std::uint8_t>(
        std::min<std::uint32_t>(value, std::numeric_limits<std::uint8_t>::max()));
}

std::uint16_t to_uint16_ms(duration value) {
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value / 1ms, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::uint16_t to_saving(double saving_ms) {
    return std::isfinite(saving_ms)
               ? static_cast<std::uint16_t>(std::clamp(saving_ms, 0.0, wire::no_alternative - 1.0))
               : wire::no_alternative;
}

double from_saving(std::uint16_t saving) {
    return saving == wire::no_alternative ? std::numeric_limits<double>::infinity() : saving;
}

} // namespace

permit_exchange::permit_exchange(std::uint64_t self, upstream_limits& limits, coordinator_network network)
    : self_{self}, limits_{limits}, network_{std::move(network)} {}

bool permit_exchange::is_coordinator(time_point now) const {
    return network_.coordinator(now) == self_;
}

double permit_exchange::share(time_point now) const {
    return shares_.share(network_.active_routers(now), now);
}

permit_decision permit_exchange::decide(std::uint32_t upstream, double saving_ms, time_point now) {
    if (!is_coordinator(now)) {
        return {.granted = false, .wait = wrong_coordinator_wait};
    }
    const auto limit = limits_.limit_of(upstream);
    return limit ? pool_.take(upstream, *limit, share(now), saving_ms, now)
                 : permit_decision{.granted = true};
}

void permit_exchange::request(std::uint32_t upstream, double saving_ms, reply_callback reply,
                              time_point now) {
    const std::uint64_t coordinator = network_.coordinator(now);
    if (coordinator == self_) {
        reply(decide(upstream, saving_ms, now));
        return;
    }
    const std::uint16_t nonce = next_nonce_++;
    pending_[nonce] = {std::move(reply), now};
    wire::gossip message;
    message.permit_requests.push_back({upstream, nonce, to_saving(saving_ms)});
    network_.send(message, coordinator, now);
}

void permit_exchange::handle_message(std::uint64_t sender, const wire::gossip& message, time_point now) {
    if (!message.freshness_queries.empty() && message.freshness_queries.front().to_coordinator) {
        shares_.record_delegation(sender, now);
    }
    handle_lists(message, now);
    wire::gossip replies;
    for (const wire::permit_request& each : message.permit_requests) {
        const permit_decision decision = decide(each.upstream, from_saving(each.saving), now);
        replies.permit_replies.push_back({each.nonce, to_uint16_ms(decision.wait), decision.granted,
                                          to_saving(decision.price_ms), to_uint16_ms(decision.full_in)});
    }
    if (!replies.permit_replies.empty()) {
        network_.send(replies, sender, now);
    }
    for (const wire::permit_reply& each : message.permit_replies) {
        if (auto found = pending_.extract(each.nonce)) {
            found.mapped().reply({each.granted, std::chrono::milliseconds{each.wait},
                                  static_cast<double>(each.price), std::chrono::milliseconds{each.full_in}});
        }
    }
    for (const wire::permit_count& each : message.rejected_permits) {
        rejecting_[each.upstream][sender] = {each.count, now};
    }
    for (const wire::permit_count& each : message.given_permits) {
        pool_.add(each.upstream, each.count, now);
    }
}

void permit_exchange::handle_lists(const wire::gossip& message, time_point now) {
    if (message.limits.empty()) {
        return;
    }
    if (message.list_ids.empty()) {
        limits_.merge(message.limits, true, now);
        return;
    }
    limits_.merge(message.limits, false, now);
    const wire::list_id& list = message.list_ids.front();
    const message_number number{wire::list_incarnation_of(message), list.number};
    message_number& newest = newest_list_[list.coordinator];
    if (number.is_newer_than(newest)) {
        newest = number;
        network_.relay(message, list, now);
    }
}

void permit_exchange::tick(time_point now) {
    std::erase_if(pending_,
                  [now](const auto& each) { return now - each.second.sent_at >= pending_lifetime; });
    report_observations(now);
    const auto limits = limits_.in_force();
    std::set<std::uint32_t> limited;
    std::ranges::copy(limits | std::views::keys, std::inserter(limited, limited.end()));
    pool_.retain(limited);
    if (!is_coordinator(now)) {
        return;
    }
    shares_.record_delegation(self_, now);
    distribute_limits(now);
    give_surplus(limits, now);
    report_rejections(now);
}

void permit_exchange::report_observations(time_point now) {
    wire::gossip report;
    report.limits = limits_.take_report(now);
    if (!report.limits.empty()) {
        for (const std::uint64_t target : network_.report_targets(now)) {
            network_.send(report, target, now);
        }
    }
}

/// Distributes the known limits in this failure domain, and those observed here to
/// the other coordinators. Lists from other coordinators are not sent back to them,
/// so that their ages do not grow younger on the way round.
void permit_exchange::distribute_limits(time_point now) {
    const std::uint64_t changes = limits_.change_count();
    const duration interval = changes != distributed_changes_ ? changed_list_interval : list_interval;
    if (now - distributed_at_ < interval) {
        return;
    }
    distributed_at_ = now;
    distributed_changes_ = changes;
    wire::gossip list;
    list.limits = limits_.all(now);
    if (!list.limits.empty()) {
        list.list_ids.push_back({self_, ++list_number_});
        list.list_incarnations.push_back(incarnation_);
        network_.relay(list, list.list_ids.front(), now);
    }
    wire::gossip domain;
    domain.limits = limits_.of_domain(now);
    if (!domain.limits.empty()) {
        domain.list_ids.push_back({self_, 0});
        for (const std::uint64_t other : network_.other_coordinators(now)) {
            network_.send(domain, other, now);
        }
    }
}

void permit_exchange::report_rejections(time_point now) {
    if (now - rejections_reported_at_ < rejection_report_interval) {
        return;
    }
    rejections_reported_at_ = now;
    wire::gossip message;
    for (const auto& [upstream, count] : pool_.take_rejections()) {
        message.rejected_permits.push_back({upstream, to_uint8(count)});
    }
    if (!message.rejected_permits.empty()) {
        for (const std::uint64_t other : network_.other_coordinators(now)) {
            network_.send(message, other, now);
        }
    }
}

void permit_exchange::give_surplus(const std::map<std::uint32_t, double>& limits, time_point now) {
    std::map<std::uint64_t, wire::gossip> gifts;
    for (auto& [upstream, coordinators] : rejecting_) {
        std::erase_if(coordinators, [now](const auto& each) {
            return now - each.second.reported_at >= rejection_lifetime;
        });
        const auto limit = limits.find(upstream);
        const auto neediest = std::ranges::max_element(
            coordinators, {}, [](const auto& each) { return each.second.rejections; });
        if (limit == limits.end() || neediest == coordinators.end() || neediest->second.rejections == 0) {
            continue;
        }
        const std::uint32_t permits = pool_.take_surplus(upstream, limit->second, share(now), now);
        if (permits > 0) {
            neediest->second.rejections -= std::min(neediest->second.rejections, permits);
            gifts[neediest->first].given_permits.push_back({upstream, to_uint8(permits)});
        }
    }
    std::erase_if(rejecting_, [](const auto& each) { return each.second.empty(); });
    for (const auto& [coordinator, message] : gifts) {
        network_.send(message, coordinator, now);
    }
}

} // namespace citronwick
