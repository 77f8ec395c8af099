#include "citronwick/fleet/router_peers.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/load_exchange.hpp"
#include "citronwick/fleet/routing_memory.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/wire/change_pack.hpp"

#include <algorithm>
#include <limits>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest time between two status messages.
constexpr duration heartbeat = 500ms;
/// Shortest time between two status messages that tell of changed work.
constexpr duration work_interval = 150ms;
/// Age of a confirmation from which the watcher is asked for a newer one.
constexpr duration question_age = 800ms;
/// Shortest time between two questions.
constexpr duration question_interval = 400ms;
constexpr double burst_seconds = 2.0;
/// Routers of each other failure domain that are told: its keeper, and the one
/// that follows should the keeper have died.
constexpr std::size_t keepers_told = 2;
/// Packed bytes of changes that are passed on; routers read larger ones
/// themselves. They fit one datagram with its header.
constexpr std::size_t most_passed_on = 48'000;
/// Packed bytes of changes that the watcher sends to everybody itself.
constexpr std::size_t most_sent_directly = 2'048;
/// Routers to which each router passes larger changes on.
constexpr std::size_t tree_width = 3;

std::uint32_t to_age(duration age) {
    // Rounded up, so that an answer never looks fresher than it is.
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(whole, 0, std::numeric_limits<std::uint32_t>::max()));
}

wire::member_record self_record(const routing_settings& settings) {
    return {.vm = settings.vm, .region = settings.region, .failure_domain = settings.failure_domain};
}

} // namespace

router_peers::router_peers(const asio::any_io_executor& executor, const routing_settings& settings,
                           routing_memory& memory, suspect_registry& suspects, peer_host host)
    : settings_{settings}, memory_{memory}, suspects_{suspects}, host_{std::move(host)},
      envelope_{random_id()}, members_{self_record(settings)},
      channel_{executor, envelope_, {hash64(settings.vm), 0, 0}}, roster_{members_.self_hash()},
      loads_{members_.self_hash(), hash64(settings.failure_domain), host_.works},
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

/// Other routers of this failure domain that are expected to do their part.
std::vector<std::uint64_t> router_peers::domain_peers(time_point now) const {
    std::vector<std::uint64_t> found;
    std::ranges::transform(members_.expected_in_domain(now), std::back_inserter(found), &member::hash);
    return found;
}

std::uint64_t router_peers::watcher(time_point now) const {
    return roster_.watcher(domain_peers(now), host_.has_store());
}

std::size_t router_peers::live_routers(time_point now) const {
    return members_.live(now).size() + 1;
}

std::size_t router_peers::known_routers() const {
    return members_.known_count() + 1;
}

void router_peers::take(const wire::header& from, const wire::gossip& message) {
    const auto now = clock::now();
    std::ranges::for_each(message.members, [&](const wire::member_record& record) { learn(record, now); });
    const auto address = members_.address_of(from.sender);
    if (!members_.record_message(from, now) || !address) {
        return;
    }
    judge_watcher(from.sender, message);
    if (!message.positions.empty()) {
        loads_.hear(from.sender, message.work, now);
        host_.on_position(message.positions.front().revision);
    }
    if (!message.tables.empty() && loads_.take_table(message, now)) {
        pass_on_table(message, now);
    }
    take_changes(message, *address, now);
    for (const wire::news_entry& entry : message.news) {
        host_.on_position(entry.revision);
    }
    memory_.merge(message,
                  members_.is_full_mesh() ? routing_memory::spread::done : routing_memory::spread::onward,
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
    wire::gossip answer;
    if (!host_.has_store()) {
        // The work goes along with the position that says so.
        answer.work = loads_.own();
        answer.positions.push_back(position());
    }
    if (const auto age = host_.key_age()) {
        std::ranges::transform(message.questions, std::back_inserter(answer.answers),
                               [&](const wire::freshness_question& question) {
                                   return wire::freshness_answer{question.asked_at, to_age(*age),
                                                                 host_.revision()};
                               });
    }
    send(answer, to, now);
}

wire::store_position router_peers::position() const {
    return {host_.revision(), host_.has_store()};
}

/// All of this router's work.
wire::gossip router_peers::work_message(time_point now) {
    told_at_ = now;
    wire::gossip message;
    message.work = loads_.tell();
    message.positions.push_back(position());
    return message;
}

wire::gossip router_peers::status_message(time_point now) {
    status_at_ = now;
    wire::gossip message = work_message(now);
    message.suspects = suspects_.take_updates();
    memory_.add_news(message);
    if (is_leaving_) {
        message.members.push_back(members_.self());
    }
    return message;
}

/// Tells the other routers what is due. In a large fleet a change of work goes
/// to the keeper of the failure domain alone.
void router_peers::tell(time_point now) {
    using change = load_exchange::change;
    const auto own = loads_.own_change();
    const bool may_wait = own == change::some && now - told_at_ < work_interval;
    const bool work_is_due = own != change::none && !may_wait && budget_.take(0.0, now);
    const bool status_is_due = now - status_at_ >= heartbeat;
    const auto keeper = members_.address_of(watcher(now));
    if (status_is_due || (work_is_due && members_.is_full_mesh())) {
        const wire::gossip message = status_message(now);
        for (const member* other : members_.select_gossip_targets(now)) {
            send(message, other->address, now);
        }
        if (!members_.is_full_mesh() && keeper) {
            send(work_message(now), *keeper, now);
        }
    } else if (work_is_due && keeper) {
        send(work_message(now), *keeper, now);
    }
}

/// Keeper's part: exchanges its failure domain's work with the other keepers,
/// and sends the fleet's round.
void router_peers::keep_tables(time_point now) {
    if (members_.is_full_mesh() || !is_on_duty(now)) {
        return;
    }
    const auto tables = loads_.make_tables(domain_peers(now), now);
    if (!tables) {
        return;
    }
    for (const std::uint64_t keeper :
         members_.assigned_in_other_domains(watch_roster::duty(), keepers_told, now)) {
        send_table(tables->of_domain, keeper);
    }
    pass_on_table(tables->of_fleet, now);
}

void router_peers::pass_on_table(const wire::gossip& message, time_point now) {
    const wire::table_origin& origin = message.tables.front();
    for (const std::uint64_t child : children(origin.keeper, origin.number, now)) {
        send_table(message, child);
    }
}

/// Sends a table; its bytes are bounded by the time between two tables.
void router_peers::send_table(const wire::gossip& message, std::uint64_t to) {
    if (const auto address = members_.address_of(to)) {
        sent_bytes_ += channel_.send(message, *address);
    }
}

void router_peers::tick(time_point now) {
    for (const std::uint64_t silent : members_.silent(now)) {
        if (loads_.knows(silent)) {
            log_warn("router_silent", {{"router_hash", std::to_string(silent)}});
            loads_.forget(silent, now);
        }
    }
    members_.remove_silent(now);
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
    for (const std::uint64_t child : children(watcher, number, now)) {
        if (const auto address = members_.address_of(child)) {
            send(message, *address, now);
        }
    }
}

/// Routers to which this one passes on what a root sends round its failure
/// domain. Each number has a tree of its own, so that a router that has died
/// keeps nobody from more than a few messages.
std::vector<std::uint64_t> router_peers::children(std::uint64_t root, std::uint64_t number,
                                                  time_point now) const {
    auto order = domain_peers(now);
    order.push_back(members_.self_hash());
    std::erase(order, root);
    std::ranges::sort(order, {}, [number](std::uint64_t router) { return hash_combine(number, router); });
    order.insert(order.begin(), root);
    const auto self =
        static_cast<std::size_t>(std::ranges::find(order, members_.self_hash()) - order.begin());
    auto following = order | std::views::drop(tree_width * self + 1) | std::views::take(tree_width);
    return {following.begin(), following.end()};
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
    if (!roster_.note_question(asked)) {
        return;
    }
    asked_at_ = now;
    wire::gossip message;
    message.questions.push_back({static_cast<std::int64_t>(boot_now())});
    send(message, *address, now);
}

/// Learns from a message whether its sender can watch the store for others.
void router_peers::judge_watcher(std::uint64_t sender, const wire::gossip& message) {
    watch_report report;
    if (!message.answers.empty()) {
        report.answer_age = std::chrono::milliseconds{message.answers.front().age};
    }
    if (!message.positions.empty()) {
        report.has_store = message.positions.front().has_store;
    }
    roster_.hear(sender, report);
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
