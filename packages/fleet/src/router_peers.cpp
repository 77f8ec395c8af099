#include "citronwick/fleet/router_peers.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/routing_memory.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/wire/change_pack.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest time between two status messages.
constexpr duration heartbeat = 500ms;
/// Shortest time between two status messages that tell of changed work.
constexpr duration work_interval = 150ms;
/// Change of an upstream's backlog in prompt tokens that is told at once: it
/// delays whatever else is sent there by a noticeable time.
constexpr std::int32_t urgent_backlog = 2'000;
/// Age of a confirmation from which the watcher is asked for a newer one.
constexpr duration question_age = 800ms;
/// Shortest time between two questions.
constexpr duration question_interval = 400ms;
constexpr double burst_seconds = 2.0;
/// Age of a watcher's own confirmation from which its answers count for nothing.
constexpr duration stale_age = 2500ms;
/// Questions in a row without a fresh answer after which another router watches.
constexpr int most_unanswered = 5;
/// Shortest time between two tables of a keeper.
constexpr duration table_interval = 250ms;
/// Routers of each other failure domain that are told: its keeper, and the one
/// that follows should the keeper have died.
constexpr std::size_t keepers_told = 2;
/// Time over which counts of requests elsewhere are averaged.
constexpr duration usual_time = 3s;
/// Bytes a second of the tables that a keeper makes; longer ones are rarer.
constexpr double table_bytes_per_second = 3'000.0;
/// Packed bytes of changes that are passed on; routers read larger ones
/// themselves. They fit one datagram with its header.
constexpr std::size_t most_passed_on = 48'000;
/// Packed bytes of changes that the watcher sends to everybody itself.
constexpr std::size_t most_sent_directly = 2'048;
/// Routers to which each router passes larger changes on.
constexpr std::size_t tree_width = 3;

const std::uint64_t watch_duty = hash64("store watcher");

template <class Number>
Number clamped(std::int64_t value) {
    return static_cast<Number>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<Number>::max()));
}

work_table table_of(const std::vector<wire::work_entry>& entries) {
    work_table table;
    for (const wire::work_entry& entry : entries) {
        table[entry.upstream] = {entry.in_flight,
                                 static_cast<std::int32_t>(entry.backlog * wire::backlog_unit)};
    }
    return table;
}

std::vector<wire::work_entry> entries_of(const work_table& table) {
    std::vector<wire::work_entry> entries;
    for (const auto& [upstream, work] : table) {
        entries.push_back({upstream, clamped<std::uint16_t>(work.in_flight),
                           clamped<std::uint16_t>(work.backlog / wire::backlog_unit)});
    }
    return entries;
}

wire::member_record self_record(const routing_settings& settings) {
    return {.vm = settings.vm, .region = settings.region, .failure_domain = settings.failure_domain};
}

} // namespace

router_peers::router_peers(const asio::any_io_executor& executor, const routing_settings& settings,
                           routing_memory& memory, suspect_registry& suspects, peer_host host)
    : settings_{settings}, memory_{memory}, suspects_{suspects}, host_{std::move(host)},
      envelope_{random_id()}, members_{self_record(settings)},
      channel_{executor, envelope_, {hash64(settings.vm), 0, 0}},
      budget_{static_cast<double>(settings.control_bytes_per_second),
              burst_seconds * settings.control_bytes_per_second, clock::now()} {}

io_result<endpoint> router_peers::open(const endpoint& listen) {
    return channel_.open(listen);
}

task<void> router_peers::receive() {
    return channel_.run(
        [this](const wire::header& from, const wire::gossip& message) { take(from, message); });
}

void router_peers::set_key(const std::string& key) {
    envelope_ = wire::envelope{key};
    has_key_ = true;
}

void router_peers::set_incarnation(std::uint64_t incarnation) {
    channel_.set_incarnation(incarnation);
    members_.set_incarnation(incarnation);
    is_registered_ = true;
}

void router_peers::learn(const wire::member_record& record, time_point now) {
    if (members_.merge(record, now)) {
        log_info("router_learnt", {{"router", record.vm},
                                   {"failure_domain", record.failure_domain},
                                   {"incarnation", std::to_string(record.incarnation)},
                                   {"leaving", record.leaving ? "yes" : "no"}});
    }
}

bool router_peers::is_on_duty(time_point now) const {
    return watcher(now) == members_.self_hash();
}

/// The router that watches: the first of those to which the store answers, or
/// of all, where it answers none.
std::uint64_t router_peers::watcher(time_point now) const {
    auto able = members_.expected_in_domain(now);
    std::erase_if(able, [this](const member* other) { return passed_over_.contains(other->hash); });
    if (host_.has_store()) {
        return assigned_router(watch_duty, members_.self_hash(), able);
    }
    if (able.empty()) {
        return assigned_router(watch_duty, members_.self_hash(), members_.expected_in_domain(now));
    }
    return assigned_router(watch_duty, able.front()->hash, able);
}

std::size_t router_peers::live_routers(time_point now) const {
    return members_.live(now).size() + 1;
}

std::size_t router_peers::known_routers() const {
    return members_.known() + 1;
}

void router_peers::take(const wire::header& from, const wire::gossip& message) {
    const auto now = clock::now();
    std::ranges::for_each(message.members, [&](const wire::member_record& record) { learn(record, now); });
    const auto address = members_.address_of(from.sender);
    if (!members_.heard_from(from, now) || !address) {
        return;
    }
    judge_watcher(from.sender, message);
    if (!message.positions.empty()) {
        ledger_.replace(from.sender, table_of(message.work));
        publish_work(now);
        host_.on_position(message.positions.front().revision);
    }
    take_table(message, now);
    take_changes(message, *address, now);
    for (const wire::news_entry& entry : message.news) {
        host_.on_position(entry.revision);
    }
    memory_.merge(message,
                  members_.tells_everybody() ? routing_memory::spread::done : routing_memory::spread::onward,
                  now);
    suspects_.merge(message.suspects, now);
    for (const wire::freshness_answer& answer : message.answers) {
        host_.on_answer(boot_time{answer.asked_at}, std::chrono::milliseconds{answer.age}, answer.revision);
    }
    answer_questions(message, *address, now);
}

void router_peers::answer_questions(const wire::gossip& message, const endpoint& to, time_point now) {
    if (message.questions.empty()) {
        return;
    }
    // A router without the store says so in its work message.
    wire::gossip answer = host_.has_store() ? wire::gossip{} : work_message(now);
    if (const auto age = host_.key_age()) {
        // Rounded up, so that an answer never looks fresher than it is.
        const auto whole = std::chrono::ceil<std::chrono::milliseconds>(*age);
        std::ranges::transform(message.questions, std::back_inserter(answer.answers),
                               [&](const wire::freshness_question& question) {
                                   return wire::freshness_answer{question.asked_at,
                                                                 clamped<std::uint32_t>(whole.count()),
                                                                 host_.revision()};
                               });
    }
    send(answer, to, now);
}

void router_peers::publish_work(time_point now) {
    const auto passed = std::chrono::duration<double>{now - std::exchange(published_at_, now)};
    const double weight = 1.0 - std::exp(-passed / std::chrono::duration<double>{usual_time});
    for (const auto& [upstream, work] : host_.works()) {
        const amount_of_work elsewhere = ledger_.elsewhere(upstream, now);
        work->elsewhere_in_flight.store(elsewhere.in_flight, std::memory_order_relaxed);
        work->elsewhere_backlog.store(elsewhere.backlog, std::memory_order_relaxed);
        const double usual = work->usual_elsewhere.load(std::memory_order_relaxed);
        work->usual_elsewhere.store(usual + weight * (elsewhere.in_flight - usual),
                                    std::memory_order_relaxed);
    }
}

router_peers::work_change router_peers::own_work_change() const {
    auto change = work_change::none;
    for (const auto& [upstream, work] : host_.works()) {
        const auto told = told_.find(upstream);
        const amount_of_work before = told == told_.end() ? amount_of_work{} : told->second;
        const auto backlog = work->backlog.load(std::memory_order_relaxed);
        if (std::abs(backlog - before.backlog) >= urgent_backlog) {
            return work_change::urgent;
        }
        if (work->in_flight.load(std::memory_order_relaxed) != before.in_flight) {
            change = work_change::some;
        }
    }
    return change;
}

/// All of this router's work.
wire::gossip router_peers::work_message(time_point now) {
    told_ = own_work();
    told_at_ = now;
    wire::gossip message;
    message.work = entries_of(told_);
    message.positions.push_back({host_.revision(), host_.has_store()});
    return message;
}

wire::gossip router_peers::status_message(time_point now) {
    status_at_ = now;
    wire::gossip message = work_message(now);
    message.suspects = suspects_.take_news();
    memory_.add_news(message);
    if (is_leaving_) {
        message.members.push_back(members_.self());
    }
    return message;
}

/// Tells the other routers what is due. In a large fleet a change of work goes
/// to the keeper of the failure domain alone.
void router_peers::tell(time_point now) {
    const auto change = own_work_change();
    const bool may_wait = change == work_change::some && now - told_at_ < work_interval;
    const bool work_is_due = change != work_change::none && !may_wait && budget_.take(0.0, now);
    const bool status_is_due = now - status_at_ >= heartbeat;
    const auto keeper = members_.address_of(watcher(now));
    if (status_is_due || (work_is_due && members_.tells_everybody())) {
        const wire::gossip message = status_message(now);
        for (const member* other : members_.choose_targets(now)) {
            send(message, other->address, now);
        }
        if (!members_.tells_everybody() && keeper) {
            send(work_message(now), *keeper, now);
        }
    } else if (work_is_due && keeper) {
        send(work_message(now), *keeper, now);
    }
}

/// Keeper's part: exchanges its failure domain's work with the other keepers,
/// and sends the fleet's round.
void router_peers::keep_tables(time_point now) {
    if (members_.tells_everybody() || !is_on_duty(now)) {
        return;
    }
    std::vector<std::uint64_t> here;
    std::ranges::transform(members_.expected_in_domain(now), std::back_inserter(here), &member::hash);
    const std::uint64_t domain = hash64(settings_.failure_domain);
    const work_table own_domain = ledger_.sum_of(here, own_work());
    const work_table fleet = ledger_.fleet(domain, own_domain, now);
    const double bytes = static_cast<double>(fleet.size() * sizeof(wire::work_entry));
    const duration spacing =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{bytes / table_bytes_per_second});
    if (now - table_made_at_ < std::max(table_interval, spacing)) {
        return;
    }
    table_made_at_ = now;
    wire::gossip message;
    message.tables.push_back({members_.self_hash(), ++tables_made_, domain});
    message.table_work = entries_of(own_domain);
    for (const std::uint64_t keeper : members_.assigned_elsewhere(watch_duty, keepers_told, now)) {
        if (const auto address = members_.address_of(keeper)) {
            send_table(message, *address);
        }
    }
    message.tables.front().domain = 0;
    message.table_work = entries_of(fleet);
    take_fleet_table(message, now);
}

void router_peers::take_table(const wire::gossip& message, time_point now) {
    if (message.tables.empty()) {
        return;
    }
    const wire::table_origin& origin = message.tables.front();
    if (origin.domain != 0) {
        ledger_.take_domain(origin.domain, table_of(message.table_work), now);
        return;
    }
    std::uint32_t& newest = newest_table_[origin.keeper];
    if (origin.number > newest) {
        newest = origin.number;
        take_fleet_table(message, now);
    }
}

/// Uses the fleet's work and passes it on.
void router_peers::take_fleet_table(const wire::gossip& message, time_point now) {
    const wire::table_origin& origin = message.tables.front();
    const bool is_own = origin.keeper == members_.self_hash();
    ledger_.take_fleet(table_of(message.table_work), is_own ? own_work() : told_, now);
    publish_work(now);
    for (const endpoint& child : children(origin.keeper, origin.number, now)) {
        send_table(message, child);
    }
}

/// Sends a table; its bytes are bounded by the time between two tables.
void router_peers::send_table(const wire::gossip& message, const endpoint& to) {
    sent_bytes_ += channel_.send(message, to);
}

work_table router_peers::own_work() const {
    work_table own;
    for (const auto& [upstream, work] : host_.works()) {
        const auto in_flight = work->in_flight.load(std::memory_order_relaxed);
        if (in_flight > 0) {
            own[upstream] = {in_flight, work->backlog.load(std::memory_order_relaxed)};
        }
    }
    return own;
}

void router_peers::tick(time_point now) {
    for (const std::uint64_t silent : members_.silent(now)) {
        if (ledger_.knows(silent)) {
            log_warn("router_silent", {{"router_hash", std::to_string(silent)}});
            ledger_.forget(silent);
            publish_work(now);
        }
    }
    members_.forget_silent(now);
    if (!has_key_ || !is_registered_) {
        return;
    }
    ask_watcher(now);
    tell(now);
    keep_tables(now);
}

void router_peers::tell_of_changes(const kv_changes& seen, std::int64_t previous, time_point now) {
    if (!has_key_ || !is_registered_ || !is_on_duty(now)) {
        return;
    }
    std::vector<wire::change_entry> changes;
    for (const kv_change& change : seen.changes) {
        changes.push_back({change.key, change.value.value_or(""), !change.value, previous, change.revision});
        previous = change.revision;
    }
    wire::gossip message;
    message.changes = wire::pack_changes(changes);
    if (message.changes.size() > most_passed_on) {
        log_info("changes_not_passed_on", {{"packed_bytes", std::to_string(message.changes.size())},
                                           {"revision", std::to_string(seen.revision)}});
        message.changes.clear();
    }
    message.news.push_back({seen.revision, members_.self_hash()});
    pass_on(message, members_.self_hash(), now);
}

/// Sends small changes from the watcher to everybody, large ones down a tree
/// whose root is the watcher, so that no link carries them more than a few times.
void router_peers::pass_on(const wire::gossip& message, std::uint64_t watcher, time_point now) {
    if (message.changes.size() <= most_sent_directly) {
        if (watcher == members_.self_hash()) {
            std::ranges::for_each(members_.expected_in_domain(now),
                                  [&](const member* other) { send(message, other->address, now); });
        }
        return;
    }
    const auto number = static_cast<std::uint64_t>(message.news.front().revision);
    for (const endpoint& child : children(watcher, number, now)) {
        send(message, child, now);
    }
}

/// Routers to which this one passes on what a root sends round its failure
/// domain. Each number has a tree of its own, so that a router that has died
/// keeps nobody from more than a few messages.
std::vector<endpoint> router_peers::children(std::uint64_t root, std::uint64_t number, time_point now) const {
    const auto others = members_.expected_in_domain(now);
    std::vector<std::uint64_t> order{members_.self_hash()};
    std::ranges::transform(others, std::back_inserter(order), &member::hash);
    std::erase(order, root);
    std::ranges::sort(order, {}, [number](std::uint64_t router) { return hash_combine(number, router); });
    order.insert(order.begin(), root);
    const auto self =
        static_cast<std::size_t>(std::ranges::find(order, members_.self_hash()) - order.begin());
    std::vector<endpoint> found;
    for (const std::uint64_t child :
         order | std::views::drop(tree_width * self + 1) | std::views::take(tree_width)) {
        if (const auto address = members_.address_of(child)) {
            found.push_back(*address);
        }
    }
    return found;
}

void router_peers::take_changes(const wire::gossip& message, const endpoint& from, time_point now) {
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
    kv_changes passed_on{.revision = entries->back().revision};
    const auto previous = entries->front().previous;
    for (wire::change_entry& entry : *entries) {
        passed_on.changes.push_back({std::move(entry.key),
                                     entry.is_removal ? std::nullopt : std::optional{std::move(entry.value)},
                                     entry.revision});
    }
    if (host_.on_changes(passed_on, previous) && !message.news.empty()) {
        pass_on(message, message.news.front().watcher, now);
    }
}

void router_peers::ask_watcher(time_point now) {
    const auto age = host_.key_age();
    const std::uint64_t asked = watcher(now);
    const auto address = members_.address_of(asked);
    if (!address || now - asked_at_ < question_interval || (age && *age < question_age)) {
        return;
    }
    if (std::exchange(asked_router_, asked) != asked) {
        questions_unanswered_ = 0;
    }
    if (++questions_unanswered_ > most_unanswered) {
        questions_unanswered_ = 0;
        pass_over(asked, "no fresh answers");
        return;
    }
    asked_at_ = now;
    wire::gossip message;
    message.questions.push_back({static_cast<std::int64_t>(boot_now())});
    send(message, *address, now);
}

/// Learns from a message whether its sender can watch the store for others.
void router_peers::judge_watcher(std::uint64_t sender, const wire::gossip& message) {
    // A router that has just taken over the watch may have an old confirmation.
    const bool helps = std::ranges::any_of(message.answers, [](const wire::freshness_answer& answer) {
        return std::chrono::milliseconds{answer.age} < stale_age;
    });
    if (helps && sender == asked_router_) {
        questions_unanswered_ = 0;
    }
    if (message.positions.empty()) {
        return;
    }
    if (!message.positions.front().has_store) {
        pass_over(sender, "without the store");
    } else if (passed_over_.erase(sender) > 0) {
        log_info("watcher_heard_again", {{"router_hash", std::to_string(sender)}});
    }
}

/// Leaves a router out of those that may watch, until it says that it can.
void router_peers::pass_over(std::uint64_t router, std::string_view reason) {
    if (passed_over_.insert(router).second) {
        log_info("watcher_passed_over",
                 {{"router_hash", std::to_string(router)}, {"reason", std::string{reason}}});
    }
}

void router_peers::leave(time_point now) {
    members_.leave();
    is_leaving_ = true;
    status_at_ = now - heartbeat;
}

void router_peers::send(const wire::gossip& message, const endpoint& to, time_point now) {
    const std::size_t bytes = channel_.send(message, to);
    sent_bytes_ += bytes;
    budget_.charge(static_cast<double>(bytes), now);
}

} // namespace citronwick
