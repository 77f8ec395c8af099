#include "citronwick/fleet/suspect_exchange.hpp"

#include "citronwick/control/suspect_registry.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Interval at which the coordinators compare what they know.
constexpr duration digest_interval = 1s;
/// Records in one message; keeps it within one Ethernet frame.
constexpr std::size_t max_records = 88;

} // namespace

suspect_exchange::suspect_exchange(std::uint64_t self, suspect_registry& suspects,
                                   coordinator_network network)
    : self_{self}, suspects_{suspects}, network_{std::move(network)} {}

void suspect_exchange::add_digest(wire::gossip& message, time_point now) {
    message.suspect_digest = suspects_.digest(now);
}

void suspect_exchange::handle_message(std::uint64_t sender, const wire::gossip& message, time_point now) {
    suspects_.merge(message.suspects, now);
    if (!message.suspects.empty() && !message.list_ids.empty()) {
        relay_list(message, now);
    }
    if (!message.suspect_digest.empty()) {
        answer_digest(sender, message, now);
    }
}

/// Sends the sender of a digest what this router knows of the groups that differ. A
/// message with nothing but a digest is answered with records and a digest, and that
/// with records alone.
void suspect_exchange::answer_digest(std::uint64_t sender, const wire::gossip& message, time_point now) {
    if (message.suspect_digest == suspects_.digest(now)) {
        return;
    }
    wire::gossip answer;
    answer.suspects = suspects_.records_unlike(message.suspect_digest, max_records, now);
    if (message.suspects.empty()) {
        add_digest(answer, now);
    }
    if (!answer.suspects.empty() || !answer.suspect_digest.empty()) {
        network_.send(answer, sender, now);
    }
}

void suspect_exchange::relay_list(const wire::gossip& message, time_point now) {
    const wire::list_id& list = message.list_ids.front();
    const message_number number{wire::list_incarnation_of(message), list.number};
    message_number& newest = newest_list_[list.coordinator];
    if (number.is_newer_than(newest)) {
        newest = number;
        network_.relay(message, list, now);
    }
}

void suspect_exchange::tick(time_point now) {
    auto [own, heard] = suspects_.take_news(now);
    const bool is_coordinator = network_.coordinator(now) == self_;
    if (!own.empty()) {
        wire::gossip report;
        report.suspects = own;
        auto targets = network_.report_targets(now);
        if (!network_.is_full_mesh()) {
            std::ranges::copy(network_.other_coordinators(now), std::back_inserter(targets));
        }
        std::erase(targets, self_);
        for (const std::uint64_t target : targets) {
            network_.send(report, target, now);
        }
    }
    if (!is_coordinator) {
        return;
    }
    if (!network_.is_full_mesh()) {
        std::ranges::move(heard, std::back_inserter(own));
        distribute(std::move(own), now);
    }
    if (now - digest_sent_at_ >= digest_interval) {
        digest_sent_at_ = now;
        wire::gossip message;
        add_digest(message, now);
        for (const std::uint64_t other : network_.other_coordinators(now)) {
            network_.send(message, other, now);
        }
    }
}

void suspect_exchange::distribute(std::vector<wire::suspect_entry> entries, time_point now) {
    for (auto first = entries.begin(); first != entries.end();) {
        const auto last = first + std::min<std::ptrdiff_t>(max_records, entries.end() - first);
        wire::gossip list;
        list.suspects.assign(first, last);
        list.list_ids.push_back({self_, ++list_number_});
        list.list_incarnations.push_back(incarnation_);
        network_.relay(list, list.list_ids.front(), now);
        first = last;
    }
}

} // namespace citronwick
