// What routers tell each other about the platform's store: positions, changes and confirmations.

#include "citronwick/fleet/router_peers.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/wire/change_pack.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Age of a confirmation from which the watcher is queried for a newer one.
constexpr duration query_age = 800ms;
/// Shortest interval between two queries.
constexpr duration query_interval = 400ms;
/// Packed size up to which changes are forwarded; routers read larger ones from
/// the store. Together with its header such a message fits in one datagram.
constexpr std::size_t max_forwarded_bytes = 48'000;
/// Watcher of changes that the receiver does not relay.
constexpr std::uint64_t not_relayed = 0;
/// Packed size up to which the watcher sends changes to all routers directly.
constexpr std::size_t max_direct_bytes = 2'048;

std::uint32_t to_age(duration age) {
    // Rounded up, so that an answer never appears fresher than it is.
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(whole, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint16_t to_uint16_ms(duration value) {
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value / 1ms, 0, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

/// Passes on the positions in the store that a message names.
void router_peers::notify_positions(const wire::gossip& message) const {
    const std::uint64_t era = wire::era_of(message);
    for (const wire::store_position& entry : message.store_positions) {
        callbacks_.on_position({entry.revision, era});
    }
    for (const wire::watcher_position& entry : message.watcher_positions) {
        callbacks_.on_position({entry.revision, era});
    }
}

void router_peers::answer_queries(const wire::gossip& message, const endpoint& to, time_point now) {
    if (message.freshness_queries.empty()) {
        return;
    }
    wire::gossip answer;
    if (!callbacks_.is_store_reachable()) {
        // A message with a store position must also hold all of the sender's load.
        answer.load = loads_.local_load();
        answer.store_positions.push_back(position());
    }
    add_missed_changes(message, answer, now);
    if (const auto age = callbacks_.key_age()) {
        std::ranges::transform(message.freshness_queries, std::back_inserter(answer.freshness_answers),
                               [&](const wire::freshness_query& query) {
                                   return wire::freshness_answer{query.asked_at, to_age(*age),
                                                                 callbacks_.position().revision};
                               });
    }
    add_era(answer);
    add_service_span(answer, now);
    send(answer, to, now);
}

/// Adds the changes that the querying router has missed, unless they are too large for
/// a datagram.
void router_peers::add_missed_changes(const wire::gossip& query, wire::gossip& answer, time_point now) const {
    const store_position own = callbacks_.position();
    if (wire::era_of(query) != own.era) {
        return;
    }
    const auto missed = recent_.since({query.freshness_queries.front().revision, own.era});
    std::string packed = missed.empty() ? std::string{} : wire::pack_changes(missed);
    if (packed.empty() || packed.size() > max_forwarded_bytes) {
        return;
    }
    const auto lapse_end = callbacks_.lapse_window_end(now);
    const duration lapse = lapse_end ? *lapse_end - now : duration::zero();
    answer.changes = std::move(packed);
    answer.watcher_positions.push_back({missed.back().revision, not_relayed, to_uint16_ms(lapse)});
}

wire::store_position router_peers::position() const {
    return {callbacks_.position().revision, callbacks_.is_store_reachable()};
}

/// Adds the era to which this router's revisions belong.
void router_peers::add_era(wire::gossip& message) const {
    if (const std::uint64_t era = callbacks_.position().era; era != 0) {
        message.store_era = {static_cast<std::uint32_t>(era)};
    }
}

/// Adds when the store served the fleet, for routers that were cut off meanwhile.
void router_peers::add_service_span(wire::gossip& message, time_point now) const {
    const auto span = callbacks_.known_service_span();
    if (span && now - span->end < std::chrono::milliseconds{std::numeric_limits<std::uint16_t>::max()}) {
        message.served_spans.push_back({to_age(span->end - span->begin), to_uint16_ms(now - span->end)});
    }
}

void router_peers::forward_changes(const kv_changes& seen, store_position previous,
                                   std::optional<time_point> lapse_window_end, time_point now) {
    recent_.record(seen, previous);
    if (!has_key() || !is_registered_ || !is_watcher(now)) {
        return;
    }
    std::vector<wire::change_entry> changes;
    for (const kv_change& change : seen.changes) {
        changes.push_back({change.key, change.value.value_or(""), !change.value, previous.revision,
                           change.position.revision});
        previous = change.position;
    }
    wire::gossip message;
    message.changes = wire::pack_changes(changes);
    if (message.changes.size() > max_forwarded_bytes) {
        log_info("changes_not_passed_on", {{"packed_bytes", std::to_string(message.changes.size())},
                                           {"position", to_text(seen.position)}});
        message.changes.clear();
    }
    const duration lapse = lapse_window_end ? *lapse_window_end - now : duration::zero();
    message.watcher_positions.push_back({seen.position.revision, members_.self_hash(), to_uint16_ms(lapse)});
    message.store_era = {static_cast<std::uint32_t>(seen.position.era)};
    relay_changes(message, members_.self_hash(), now);
}

/// Sends small changes from the watcher to all routers directly, and relays
/// large ones down a tree rooted at the watcher, so that no link carries
/// them more than a few times.
void router_peers::relay_changes(const wire::gossip& message, std::uint64_t watcher, time_point now) {
    if (message.changes.size() <= max_direct_bytes) {
        if (watcher == members_.self_hash()) {
            std::ranges::for_each(members_.expected_in_domain(now),
                                  [&](const member* other) { send(message, other->address, now); });
        }
        return;
    }
    const auto number = static_cast<std::uint64_t>(message.watcher_positions.front().revision);
    for (const std::uint64_t child : children(watcher, number, now)) {
        if (const auto address = members_.address_of(child)) {
            send(message, *address, now);
        }
    }
}

void router_peers::handle_changes(const wire::gossip& message, const endpoint& from, time_point now) {
    if (message.changes.empty()) {
        return;
    }
    auto entries = io_result_of<std::vector<wire::change_entry>>(
        [&] { return wire::unpack_changes(message.changes, to_text(from)); });
    if (entries.has_error()) {
        log_failure("fleet_message_refused", entries.error());
        return;
    }
    if (entries->empty()) {
        return;
    }
    const std::uint64_t era = wire::era_of(message);
    kv_changes forwarded{.position = {entries->back().revision, era}};
    const store_position previous{entries->front().previous, era};
    for (wire::change_entry& entry : *entries) {
        forwarded.changes.push_back({std::move(entry.key),
                                     entry.is_removal ? std::nullopt : std::optional{std::move(entry.value)},
                                     {entry.revision, era}});
    }
    if (message.watcher_positions.empty()) {
        return;
    }
    const wire::watcher_position& position = message.watcher_positions.front();
    const bool are_new =
        callbacks_.on_changes(forwarded, previous, std::chrono::milliseconds{position.lapse_ms});
    if (are_new && position.watcher != not_relayed) {
        relay_changes(message, position.watcher, now);
    }
}

void router_peers::query_watcher(time_point now) {
    if (const auto ahead = missed_.router_to_ask(callbacks_.position(), now)) {
        if (const auto address = members_.address_of(*ahead)) {
            log_info("missed_changes_queried",
                     {{"position", to_text(callbacks_.position())}, {"router_hash", std::to_string(*ahead)}});
            query(*address, *ahead == watcher(now), now);
        }
    }
    const auto age = callbacks_.key_age();
    const std::uint64_t queried = watcher(now);
    const auto address = members_.address_of(queried);
    if (!address || now - watcher_queried_at_ < query_interval || (age && *age < query_age)) {
        return;
    }
    if (!watcher_selector_.record_query(queried)) {
        return;
    }
    watcher_queried_at_ = now;
    query(*address, true, now);
}

/// @param to_coordinator whether the receiver coordinates this router's failure domain
void router_peers::query(const endpoint& to, bool to_coordinator, time_point now) {
    wire::gossip message;
    message.freshness_queries.push_back(
        {static_cast<std::int64_t>(boot_now()), callbacks_.position().revision, to_coordinator});
    add_era(message);
    suspects_.add_digest(message, now);
    send(message, to, now);
}

/// Records up to which positions other routers have followed the store.
void router_peers::record_positions(std::uint64_t sender, const wire::gossip& message, time_point now) {
    const std::uint64_t era = wire::era_of(message);
    const store_position own = callbacks_.position();
    for (const wire::store_position& entry : message.store_positions) {
        missed_.record_position(sender, {entry.revision, era}, own, now);
    }
    for (const wire::watcher_position& entry : message.watcher_positions) {
        missed_.record_position(sender, {entry.revision, era}, own, now);
    }
    for (const wire::freshness_answer& answer : message.freshness_answers) {
        missed_.record_position(sender, {answer.revision, era}, own, now);
    }
}

/// Records what a message reveals about its sender's ability to watch the store.
void router_peers::record_watcher_report(std::uint64_t sender, const wire::gossip& message) {
    watcher_report report;
    if (!message.freshness_answers.empty()) {
        report.answer_age = std::chrono::milliseconds{message.freshness_answers.front().age};
    }
    if (!message.store_positions.empty()) {
        report.store_reachable = message.store_positions.front().store_reachable;
    }
    watcher_selector_.record_report(sender, report);
}

} // namespace citronwick
