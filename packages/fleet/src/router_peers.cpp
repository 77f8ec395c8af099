#include "citronwick/fleet/router_peers.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/core/store_position.hpp"
#include "citronwick/fleet/load_exchange.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/stream_numberings.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/io/log.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest interval between two status messages.
constexpr duration heartbeat_interval = 500ms;
/// Shortest interval between two reports of minor load changes, to all routers of
/// a small fleet or to the load aggregator of a large one.
constexpr duration load_report_interval = 150ms;
constexpr duration aggregator_report_interval = 100ms;
constexpr double burst_seconds = 2.0;
/// Routers of each other failure domain that receive the load of this one: its
/// load aggregator, and the next in rank in case the aggregator has failed.
constexpr std::size_t aggregators_per_domain = 2;
/// Routers to which each router relays larger changes and fleet tables.
constexpr std::size_t tree_fanout = 3;
/// Keys and values of changes that are kept for routers that miss them.
constexpr std::size_t max_recent_bytes = 262'144;

wire::member_record self_record(const routing_settings& settings) {
    return {.vm = settings.vm, .region = settings.region, .failure_domain = settings.failure_domain};
}

} // namespace

router_peers::router_peers(const asio::any_io_executor& executor, const routing_settings& settings,
                           upstream_observations& observations, suspect_registry& suspects,
                           upstream_limits& limits, const begun_streams& streams,
                           stream_numberings& numberings, peer_callbacks callbacks)
    : settings_{settings}, observations_{observations}, numberings_{numberings},
      callbacks_{std::move(callbacks)}, envelope_{random_id()},
      members_{self_record(settings), membership::leaving_counts_as::live},
      channel_{executor, envelope_, {hash64(settings.vm), 0, 0}}, watcher_selector_{members_.self_hash()},
      loads_{members_.self_hash(), hash64(settings.failure_domain), callbacks_.loads},
      permits_{members_.self_hash(), limits, make_coordinator_network()},
      places_{
          callbacks_.places_to_lend,
          [this](const wire::gossip& message, std::uint64_t to, time_point) { send_uncharged(message, to); },
          short_hash(hash64(random_id()))},
      suspects_{members_.self_hash(), suspects, make_coordinator_network()},
      streams_{streams, numberings,
               [this](const wire::gossip& message, std::uint64_t to, time_point now) {
                   send_to(message, to, now);
               }},
      recent_{max_recent_bytes}, budget_{static_cast<double>(settings.control_bytes_per_second),
                                         burst_seconds * settings.control_bytes_per_second, clock::now()} {}

io_result<endpoint> router_peers::open(const endpoint& listen) {
    auto bound = channel_.open(listen);
    if (bound.has_value()) {
        // Others ignore the announcement that this router is leaving if it names no address.
        members_.set_address(to_text(*bound));
    }
    return bound;
}

task<void> router_peers::receive() {
    return channel_.run(
        [this](const wire::header& from, const wire::gossip& message) { handle_message(from, message); });
}

void router_peers::set_key(const std::string& key) {
    envelope_ = wire::envelope{key};
    key_ = key;
}

void router_peers::set_incarnation(std::uint64_t incarnation) {
    channel_.set_incarnation(incarnation);
    members_.set_incarnation(incarnation);
    loads_.set_incarnation(shorten_sequence_number(incarnation));
    permits_.set_incarnation(shorten_sequence_number(incarnation));
    suspects_.set_incarnation(shorten_sequence_number(incarnation));
    is_registered_ = true;
}

void router_peers::merge_member(const wire::member_record& record, time_point now) {
    if (members_.merge(record, now)) {
        numberings_.tell_again();
        log_info("router_learnt", {{"router", record.vm},
                                   {"failure_domain", record.failure_domain},
                                   {"incarnation", std::to_string(record.incarnation)},
                                   {"leaving", record.leaving ? "yes" : "no"}});
    }
}

bool router_peers::is_watcher(time_point now) const {
    return watcher(now) == members_.self_hash();
}

/// Other routers of this failure domain that are live, or were discovered too
/// recently to count as silent.
std::vector<std::uint64_t> router_peers::domain_peers(time_point now) const {
    std::vector<std::uint64_t> found;
    std::ranges::transform(members_.expected_in_domain(now), std::back_inserter(found), &member::hash);
    return found;
}

std::uint64_t router_peers::watcher(time_point now) const {
    return watcher_selector_.select(domain_peers(now), callbacks_.is_store_reachable());
}

std::size_t router_peers::live_routers(time_point now) const {
    return members_.live(now).size() + 1;
}

fleet_directory router_peers::directory(time_point now) const {
    fleet_directory known{.key = key_,
                          .self = members_.self_hash(),
                          .incarnation = is_registered_ ? members_.self().incarnation : 0,
                          .live = {}};
    const auto to_peer = [](const member* other) {
        return fleet_peer{other->hash, other->record.incarnation, other->address};
    };
    const auto stays = [](const member* other) { return !other->record.leaving; };
    auto staying = members_.live(now) | std::views::filter(stays);
    std::ranges::transform(staying, std::back_inserter(known.live), to_peer);
    std::ranges::transform(members_.heard_leaving(now), std::back_inserter(known.leaving), to_peer);
    return known;
}

std::size_t router_peers::known_routers() const {
    return members_.known_count() + 1;
}

std::vector<std::uint64_t> router_peers::active_routers(time_point now) const {
    auto routers = members_.active(now);
    routers.push_back(members_.self_hash());
    std::ranges::sort(routers);
    return routers;
}

std::vector<std::uint64_t> router_peers::heard_routers(time_point now) const {
    std::vector<std::uint64_t> routers{members_.self_hash()};
    std::ranges::transform(members_.live(now), std::back_inserter(routers), &member::hash);
    std::ranges::sort(routers);
    return routers;
}

void router_peers::handle_message(const wire::header& from, const wire::gossip& message) {
    const auto now = clock::now();
    std::ranges::for_each(message.members,
                          [&](const wire::member_record& record) { merge_member(record, now); });
    // Also from a sender whose new incarnation is not known yet, as all routers get one
    // when the store has come back from a copy.
    notify_positions(message);
    const auto address = members_.address_of(from.sender);
    if (!members_.record_message(from, now) || !address) {
        return;
    }
    record_watcher_report(from.sender, message);
    if (!message.store_positions.empty()) {
        loads_.merge_report(from.sender, message.load, now);
    }
    if (!message.load_table_ids.empty() && loads_.merge_table(message, now)) {
        relay_table(message, now);
    }
    handle_changes(message, *address, now);
    record_positions(from.sender, message, now);
    observations_.merge(message,
                        members_.is_full_mesh() ? upstream_observations::relay::none
                                                : upstream_observations::relay::once,
                        now);
    suspects_.handle_message(from.sender, message, now);
    for (const wire::freshness_answer& answer : message.freshness_answers) {
        callbacks_.on_freshness_answer(boot_time{answer.asked_at}, std::chrono::milliseconds{answer.age},
                                       {answer.revision, wire::era_of(message)});
    }
    for (const wire::served_span& span : message.served_spans) {
        const time_point end = now - std::chrono::milliseconds{span.end_age};
        callbacks_.on_service_span({end - std::chrono::milliseconds{span.length}, end});
    }
    answer_queries(message, *address, now);
    permits_.handle_message(from.sender, message, now);
    places_.handle_message(from.sender, message, now);
    // Before the replies to queries, whose streams then go on.
    numberings_.merge(
        message.stream_numberings,
        members_.is_full_mesh() ? stream_numberings::relay::none : stream_numberings::relay::once, now);
    streams_.handle_message(from.sender, message, now);
}

void router_peers::send_to(const wire::gossip& message, std::uint64_t router, time_point now) {
    if (const auto address = members_.address_of(router)) {
        send(message, *address, now);
    }
}

coordinator_network router_peers::make_coordinator_network() {
    return {.coordinator = [this](time_point now) { return watcher(now); },
            .active_routers = [this](time_point now) { return members_.active_count(now) + 1; },
            .report_targets =
                [this](time_point now) {
                    if (!members_.is_full_mesh()) {
                        return std::vector{watcher(now)};
                    }
                    std::vector<std::uint64_t> all;
                    std::ranges::transform(members_.live(now), std::back_inserter(all), &member::hash);
                    return all;
                },
            .other_coordinators =
                [this](time_point now) {
                    return members_.assigned_in_other_domains(watcher_selector::role(),
                                                              aggregators_per_domain, now);
                },
            .is_full_mesh = [this] { return members_.is_full_mesh(); },
            .send = [this](const wire::gossip& message, std::uint64_t to,
                           time_point now) { send_to(message, to, now); },
            .relay =
                [this](const wire::gossip& message, const wire::list_id& list, time_point now) {
                    for (const std::uint64_t child : children(list.coordinator, list.number, now)) {
                        send_to(message, child, now);
                    }
                }};
}

void router_peers::request_permit(std::uint32_t upstream, double saving_ms,
                                  permit_exchange::reply_callback reply, time_point now) {
    permits_.request(upstream, saving_ms, std::move(reply), now);
}

void router_peers::ask_stream_version(std::uint64_t key, stream_exchange::reply_callback reply,
                                      time_point now) {
    std::vector<std::uint64_t> routers;
    std::ranges::transform(members_.expected(now), std::back_inserter(routers), &member::hash);
    streams_.ask(key, routers, std::move(reply), now);
}

std::size_t router_peers::watcher_rank(time_point now) const {
    const auto others = members_.assigned_in_other_domains(watcher_selector::role(), 1, now);
    return static_cast<std::size_t>(
        std::ranges::count_if(others, [this](std::uint64_t other) { return other < members_.self_hash(); }));
}

/// Message that reports this router's load and its store position.
wire::gossip router_peers::load_message(time_point now) {
    load_sent_at_ = now;
    wire::gossip message;
    message.load = loads_.report_local_load();
    message.store_positions.push_back(position());
    add_era(message);
    return message;
}

wire::gossip router_peers::status_message(time_point now) {
    status_sent_at_ = now;
    wire::gossip message = load_message(now);
    add_service_span(message, now);
    observations_.add_updates(message);
    message.stream_numberings = numberings_.take_updates(now);
    if (is_leaving_) {
        message.members.push_back(members_.self());
    }
    return message;
}

/// Sends the status and load messages that are due. In a large fleet load
/// changes between two status messages go only to the failure domain's load
/// aggregator, which is also its watcher.
void router_peers::send_updates(time_point now) {
    using change = load_exchange::change;
    const auto local = loads_.local_change();
    const duration report_interval =
        members_.is_full_mesh() ? load_report_interval : aggregator_report_interval;
    const bool may_wait = local == change::minor && now - load_sent_at_ < report_interval;
    const bool load_is_due = local != change::none && !may_wait && budget_.take(0.0, now);
    const bool status_is_due = now - status_sent_at_ >= heartbeat_interval;
    const auto aggregator = members_.address_of(watcher(now));
    if (status_is_due || (load_is_due && members_.is_full_mesh())) {
        const wire::gossip message = status_message(now);
        for (const member* other : members_.select_gossip_targets(now)) {
            send(message, other->address, now);
        }
        if (!members_.is_full_mesh() && aggregator) {
            send(load_message(now), *aggregator, now);
        }
    } else if (load_is_due && aggregator) {
        send(load_message(now), *aggregator, now);
    }
}

/// As load aggregator of a large fleet, sends the load of this failure domain to
/// the other aggregators, and that of the fleet to the routers of this domain.
void router_peers::exchange_tables(time_point now) {
    if (members_.is_full_mesh() || !is_watcher(now)) {
        return;
    }
    const auto tables = loads_.build_tables(domain_peers(now), now);
    if (!tables) {
        return;
    }
    for (const std::uint64_t aggregator :
         members_.assigned_in_other_domains(watcher_selector::role(), aggregators_per_domain, now)) {
        send_uncharged(tables->domain, aggregator);
    }
    relay_table(tables->fleet, now);
}

void router_peers::relay_table(const wire::gossip& message, time_point now) {
    const wire::load_table_id& table_id = message.load_table_ids.front();
    for (const std::uint64_t child : children(table_id.aggregator, table_id.number, now)) {
        send_uncharged(message, child);
    }
}

/// Sends a message without charging the byte budget, since the interval between tables and that
/// between requests for places bound their bytes already.
void router_peers::send_uncharged(const wire::gossip& message, std::uint64_t to) {
    if (const auto address = members_.address_of(to)) {
        sent_bytes_ += channel_.send(message, *address);
    }
}

void router_peers::tick(time_point now) {
    for (const std::uint64_t silent : members_.silent(now)) {
        if (loads_.has_report_of(silent)) {
            log_warn("router_silent", {{"router_hash", std::to_string(silent)}});
            loads_.remove_router(silent, now);
        }
    }
    members_.remove_silent(now);
    if (!has_key() || !is_registered_) {
        return;
    }
    query_watcher(now);
    send_updates(now);
    exchange_tables(now);
    permits_.tick(now);
    places_.tick(now);
    suspects_.tick(now);
    streams_.expire(now);
}

/// Routers to which this one relays messages that a root distributes in its
/// failure domain. The tree differs for each message number, so that a failed
/// router cuts off the same routers for only a few messages.
std::vector<std::uint64_t> router_peers::children(std::uint64_t root, std::uint64_t number,
                                                  time_point now) const {
    auto order = domain_peers(now);
    order.push_back(members_.self_hash());
    std::erase(order, root);
    std::ranges::sort(order, {}, [number](std::uint64_t router) { return hash_combine(number, router); });
    order.insert(order.begin(), root);
    const auto self =
        static_cast<std::size_t>(std::ranges::find(order, members_.self_hash()) - order.begin());
    auto following = order | std::views::drop(tree_fanout * self + 1) | std::views::take(tree_fanout);
    return {following.begin(), following.end()};
}

void router_peers::leave(time_point now) {
    members_.leave();
    is_leaving_ = true;
    status_sent_at_ = now - heartbeat_interval;
}

void router_peers::send(const wire::gossip& message, const endpoint& to, time_point now) {
    const std::size_t bytes = channel_.send(message, to);
    sent_bytes_ += bytes;
    budget_.charge(static_cast<double>(bytes), now);
}

} // namespace citronwick
