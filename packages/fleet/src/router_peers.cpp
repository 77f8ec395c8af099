#include "citronwick/fleet/router_peers.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/routing_memory.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/wire/change_pack.hpp"

#include <algorithm>
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
/// Only confirmations this fresh are passed on; others help nobody.
constexpr duration useful_age = 3000ms;
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

std::uint64_t router_peers::watcher(time_point now) const {
    return assigned_router(watch_duty, members_.self_hash(), members_.expected_in_domain(now));
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
    if (!message.positions.empty()) {
        take_work(from.sender, message.work);
        host_.on_position(message.positions.front().revision);
    }
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
    answer_questions(message, *address);
}

void router_peers::answer_questions(const wire::gossip& message, const endpoint& to) {
    const auto age = host_.key_age();
    if (message.questions.empty() || !age || *age > useful_age) {
        return;
    }
    // Rounded up, so that an answer never looks fresher than it is.
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(*age);
    wire::gossip answer;
    std::ranges::transform(
        message.questions, std::back_inserter(answer.answers), [&](const wire::freshness_question& question) {
            return wire::freshness_answer{question.asked_at, clamped<std::uint32_t>(whole.count()),
                                          host_.revision()};
        });
    send(answer, to, clock::now());
}

void router_peers::take_work(std::uint64_t sender, const std::vector<wire::work_entry>& entries) {
    work_table table;
    for (const wire::work_entry& entry : entries) {
        table[entry.upstream] = {entry.in_flight,
                                 static_cast<std::int32_t>(entry.backlog * wire::backlog_unit)};
    }
    replace_work(sender, std::move(table));
}

/// Replaces what a peer has on upstreams, and updates the sums that it is part of.
void router_peers::replace_work(std::uint64_t peer, work_table table) {
    const auto add = [this](const work_table& changed, std::int32_t sign) {
        for (const auto& [upstream, work] : changed) {
            peer_work& sum = elsewhere_[upstream];
            sum.in_flight += sign * work.in_flight;
            sum.backlog += sign * work.backlog;
            publish_work(upstream, sum);
        }
    };
    work_table& known = work_by_peer_[peer];
    add(known, -1);
    add(table, 1);
    known = std::move(table);
}

void router_peers::publish_work(std::uint32_t upstream, const peer_work& sum) const {
    const auto& works = host_.works();
    if (const auto found = works.find(upstream); found != works.end()) {
        found->second->elsewhere_in_flight.store(sum.in_flight, std::memory_order_relaxed);
        found->second->elsewhere_backlog.store(sum.backlog, std::memory_order_relaxed);
    }
}

router_peers::work_change router_peers::own_work_change() const {
    auto change = work_change::none;
    for (const auto& [upstream, work] : host_.works()) {
        const auto told = told_.find(upstream);
        const peer_work before = told == told_.end() ? peer_work{} : told->second;
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

wire::gossip router_peers::status_message(time_point now) {
    wire::gossip message;
    told_.clear();
    for (const auto& [upstream, work] : host_.works()) {
        const auto in_flight = work->in_flight.load(std::memory_order_relaxed);
        const auto backlog = work->backlog.load(std::memory_order_relaxed);
        if (in_flight > 0) {
            told_[upstream] = {in_flight, backlog};
            message.work.push_back({upstream, clamped<std::uint16_t>(in_flight),
                                    clamped<std::uint16_t>(backlog / wire::backlog_unit)});
        }
    }
    told_at_ = now;
    message.positions.push_back({host_.revision()});
    message.suspects = suspects_.take_news();
    memory_.add_news(message);
    if (is_leaving_) {
        message.members.push_back(members_.self());
    }
    return message;
}

void router_peers::tick(time_point now) {
    for (const std::uint64_t silent : members_.silent(now)) {
        if (work_by_peer_.contains(silent)) {
            log_warn("router_silent", {{"router_hash", std::to_string(silent)}});
            replace_work(silent, {});
            work_by_peer_.erase(silent);
        }
    }
    members_.forget_silent(now);
    if (!has_key_ || !is_registered_) {
        return;
    }
    ask_watcher(now);
    const bool is_due = now - told_at_ >= heartbeat;
    const auto change = own_work_change();
    const bool may_wait = change == work_change::some && now - told_at_ < work_interval;
    const bool work_is_due = change != work_change::none && !may_wait && budget_.take(0.0, now);
    if (is_due || work_is_due) {
        const wire::gossip message = status_message(now);
        for (const member* other : members_.choose_targets(now)) {
            send(message, other->address, now);
        }
    }
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
    const auto others = members_.expected_in_domain(now);
    if (message.changes.size() <= most_sent_directly) {
        if (watcher == members_.self_hash()) {
            std::ranges::for_each(others, [&](const member* other) { send(message, other->address, now); });
        }
        return;
    }
    std::vector<std::uint64_t> order{members_.self_hash()};
    std::ranges::transform(others, std::back_inserter(order), &member::hash);
    std::ranges::sort(order);
    const auto root = std::ranges::find(order, watcher);
    std::ranges::rotate(order, root == order.end() ? order.begin() : root);
    const auto self =
        static_cast<std::size_t>(std::ranges::find(order, members_.self_hash()) - order.begin());
    for (const std::uint64_t child :
         order | std::views::drop(tree_width * self + 1) | std::views::take(tree_width)) {
        if (const auto address = members_.address_of(child)) {
            send(message, *address, now);
        }
    }
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
    const auto address = members_.address_of(watcher(now));
    if (!address || now - asked_at_ < question_interval || (age && *age < question_age)) {
        return;
    }
    asked_at_ = now;
    wire::gossip message;
    message.questions.push_back({static_cast<std::int64_t>(boot_now())});
    send(message, *address, now);
}

void router_peers::leave(time_point now) {
    members_.leave();
    is_leaving_ = true;
    told_at_ = now - heartbeat;
}

void router_peers::send(const wire::gossip& message, const endpoint& to, time_point now) {
    const std::size_t bytes = channel_.send(message, to);
    sent_bytes_ += bytes;
    budget_.charge(static_cast<double>(bytes), now);
}

} // namespace citronwick
