#include "citronwick/control/control_plane.hpp"

#include "citronwick/control/claim_registry.hpp"
#include "citronwick/control/document_store.hpp"
#include "citronwick/control/document_sync.hpp"
#include "citronwick/control/fleet_channel.hpp"
#include "citronwick/control/membership.hpp"
#include "citronwick/control/peer_exchange.hpp"
#include "citronwick/control/prober.hpp"
#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/control/upstream_table.hpp"
#include "citronwick/control/vm_list.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/core/snapshot.hpp"
#include "citronwick/io/etcd_gateway_client.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/token_bucket.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <pthread.h>
#include <ranges>
#include <set>
#include <thread>

namespace citronwick {

namespace {

using namespace std::chrono_literals;
using wire::document_kind;

constexpr duration gossip_tick = 50ms;
constexpr duration heartbeat = 1s;
/// Between two looks at who keeps which count; silence is noticed more slowly.
constexpr duration keeper_interval = 1s;
/// Time for which a changed count waits for a message that can carry it.
constexpr duration usage_interval = 300ms;
constexpr duration refresh_interval = 2s;
/// Longest wait for the keeper of an upstream's count.
constexpr duration slot_timeout = 10ms;
constexpr duration view_interval = 20ms;
constexpr std::size_t watchers_per_domain = 2;
constexpr std::size_t probers_per_upstream = 1;
constexpr std::size_t reports_per_message = 100;
constexpr std::size_t small_fleet = 8;
constexpr double burst_seconds = 2.0;
constexpr int mark_repeats = 3;
/// Messages that name a new generation: enough for 3^6 routers, and some to spare.
constexpr int version_rounds = 8;
constexpr const char* control_thread_name = "control";

/// Duties that rendezvous hashing assigns to routers.
const std::uint64_t watch_duty = hash64("platform watcher");

task<void> sleep_for(duration time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(use_tuple);
}

} // namespace

class control_plane::state {
public:
    state(control_settings settings, std::uint64_t incarnation)
        : settings_{std::move(settings)}, envelope_{settings_.fleet_key}, members_{self_record(incarnation)},
          upstreams_{settings_.region}, channel_{context_.get_executor(), envelope_, header(incarnation)},
          exchange_{context_.get_executor(),
                    envelope_,
                    header(incarnation),
                    documents_,
                    [this](const wire::claim_query& query) { return claims_.answer(query); },
                    counter(control_kind::documents)},
          prober_{
              context_.get_executor(),
              [this](std::uint32_t upstream, const upstream_observation& seen) { observe(upstream, seen); },
              counter(control_kind::probes)},
          sync_{context_.get_executor(),
                settings_,
                documents_,
                exchange_,
                {.on_configuration =
                     [this](std::shared_ptr<const configuration> next) { adopt(std::move(next)); },
                 .on_vm_list = [this](const std::vector<listed_vm>& vms) { apply_vm_list(vms); },
                 .is_watcher = [this] { return is_watcher(); }}},
          claim_service_{make_etcd_gateway_client(context_.get_executor(), settings_.key_value_servers,
                                                  settings_.platform_timeout)},
          claims_{*claim_service_, settings_.key_prefix, settings_.vm + "#" + std::to_string(incarnation),
                  settings_.claim_lifetime,
                  [this](endpoint claimant, wire::claim_query query) {
                      return exchange_.ask_claimant(std::move(claimant), std::move(query));
                  }},
          budget_{static_cast<double>(settings_.control_bytes_per_second),
                  burst_seconds * settings_.control_bytes_per_second, clock::now()},
          view_{std::make_shared<const fleet_view>()} {}

    io_result<endpoint> start() {
        auto bound = open_fleet_address();
        if (bound.has_error()) {
            return bound;
        }
        if (settings_.advertised_address.empty()) {
            settings_.advertised_address = to_text(*bound);
        }
        members_.set_address(settings_.advertised_address);
        claims_.set_address(settings_.advertised_address);
        spawn(channel_.run(
            [this](const wire::header& from, const wire::gossip& message) { receive(from, message); }));
        spawn(exchange_.serve());
        spawn(gossip_loop());
        spawn(probe_loop());
        sync_.start();
        spawn(view_loop());
        thread_ = std::jthread{[this] { context_.run(); }};
        pthread_setname_np(thread_.native_handle(), control_thread_name);
        return bound;
    }

    void stop() {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    template <class Function>
    void post(Function function) {
        asio::post(context_, std::move(function));
    }

    void leave() {
        members_.leave();
        urgent_ = true;
    }

    void observe(std::uint32_t upstream, const upstream_observation& seen) {
        if (!upstreams_.observe(upstream, seen)) {
            return;
        }
        view_changed_ = true;
        pending_reports_[upstream] = seen;
        if (seen.leaving || !seen.reachable) {
            urgent_ = true;
        }
    }

    void record_contact(std::uint32_t upstream, bool succeeded) {
        upstreams_.record_contact(upstream, succeeded, clock::now());
        view_changed_ = true;
    }

    task<slot_verdict> reserve_slot(std::uint32_t upstream, std::uint32_t limit) {
        const auto keeper = members_.address_of(upstreams_.keeper(upstream));
        const auto in_flight = upstreams_.own_in_flight(upstream);
        if (!keeper || !budget_.take(0.0, clock::now())) {
            co_return slot_verdict::unasked;
        }
        const std::uint16_t nonce = ++last_nonce_;
        const auto pending = std::make_shared<pending_slot>(context_);
        pending_slots_[nonce] = pending;
        wire::gossip question;
        question.slot_requests.push_back({upstream, in_flight, clamped(limit), nonce});
        sent_usage_[upstream] = in_flight;
        add_usage(question, upstreams_.keeper(upstream), false);
        spend(control_kind::gossip, channel_.send(question, *keeper));
        pending->timer.expires_after(slot_timeout);
        co_await pending->timer.async_wait(use_tuple);
        pending_slots_.erase(nonce);
        co_return pending->verdict;
    }

    std::shared_ptr<const fleet_view> view() const { return view_.load(); }
    asio::any_io_executor executor() { return context_.get_executor(); }
    claim_registry& claims() { return claims_; }
    suspect_registry& suspects() { return suspects_; }
    const control_meter& meter() const { return meter_; }

private:
    /// A question to a keeper that waits for its answer.
    struct pending_slot {
        explicit pending_slot(asio::io_context& context) : timer{context} {}
        asio::steady_timer timer;
        slot_verdict verdict = slot_verdict::unasked;
    };

    static std::uint16_t clamped(std::uint32_t value) {
        return static_cast<std::uint16_t>(
            std::min<std::uint32_t>(value, std::numeric_limits<std::uint16_t>::max()));
    }

    /// Binds UDP and TCP to one port. A free UDP port may be taken in TCP, so
    /// another is tried where the settings leave the choice.
    io_result<endpoint> open_fleet_address() {
        constexpr int most_tries = 20;
        io_result<endpoint> bound{
            failure{"bind fleet address", to_text(settings_.fleet_listen), "no free port"}};
        for (int attempt = 0; attempt < most_tries; ++attempt) {
            bound = channel_.open(settings_.fleet_listen);
            if (bound.has_error()) {
                return bound;
            }
            const auto listening = exchange_.open(*bound);
            if (listening.has_value()) {
                return bound;
            }
            bound = listening.error();
            if (settings_.fleet_listen.port != 0) {
                return bound;
            }
            channel_.close();
        }
        return bound;
    }

    wire::member_record self_record(std::uint64_t incarnation) const {
        return {.vm = settings_.vm,
                .region = settings_.region,
                .failure_domain = settings_.failure_domain,
                .incarnation = incarnation};
    }

    wire::header header(std::uint64_t incarnation) const { return {hash64(settings_.vm), incarnation, 0}; }

    std::function<void(std::size_t)> counter(control_kind kind) {
        return [this, kind](std::size_t bytes) { spend(kind, bytes); };
    }

    void spend(control_kind kind, std::size_t bytes) {
        meter_.add(kind, bytes);
        if (kind != control_kind::claims) {
            budget_.charge(static_cast<double>(bytes), clock::now());
        }
    }

    void spawn(task<void> work) { asio::co_spawn(context_, std::move(work), asio::detached); }

    // Fleet channel

    void receive(const wire::header& from, const wire::gossip& message) {
        const auto now = clock::now();
        for (const wire::member_record& record : message.members) {
            if (members_.merge(record, now)) {
                log_info("member_learnt", {{"vm", record.vm},
                                           {"failure_domain", record.failure_domain},
                                           {"leaving", record.leaving ? "yes" : "no"}});
                introduce_ = true;
                keepers_stale_ = true;
                view_changed_ = true;
            }
        }
        if (!members_.heard_from(from, now)) {
            introduce_ = true;
            return;
        }
        upstreams_.record_peer_usage(from.sender, message.usage);
        answer_slot_requests(from.sender, message.slot_requests);
        for (const wire::slot_reply& reply : message.slot_replies) {
            take_slot_reply(reply, now);
        }
        for (const wire::count_entry& count : message.counts) {
            upstreams_.record_count(count.upstream, count.in_flight, now);
        }
        suspects_.merge(message.suspects, now);
        take_reports(message.reports, now);
        for (const wire::leaving_entry& mark : message.leaving) {
            if (upstreams_.mark_leaving(mark.upstream, mark.incarnation)) {
                marks_to_repeat_ = mark_repeats;
            }
        }
        for (const wire::document_version& version : message.documents) {
            pull_if_newer(from.sender, version);
        }
        view_changed_ = true;
    }

    void answer_slot_requests(std::uint64_t asker, const std::vector<wire::slot_request>& requests) {
        const auto address = members_.address_of(asker);
        if (requests.empty() || !address) {
            return;
        }
        wire::gossip answer;
        for (const wire::slot_request& request : requests) {
            answer.slot_replies.push_back(upstreams_.decide_slot(asker, request));
        }
        add_usage(answer, asker, false);
        spend(control_kind::gossip, channel_.send(answer, *address));
    }

    void take_slot_reply(const wire::slot_reply& reply, time_point now) {
        const auto waiting = pending_slots_.find(reply.nonce);
        if (waiting == pending_slots_.end()) {
            return;
        }
        upstreams_.record_elsewhere(reply.upstream, reply.in_flight, now);
        waiting->second->verdict = reply.granted ? slot_verdict::granted : slot_verdict::denied;
        waiting->second->timer.cancel();
    }

    void take_reports(const std::vector<wire::report_entry>& reports, time_point now) {
        for (const wire::report_entry& report : reports) {
            const upstream_observation seen{.reachable = report.reachable,
                                            .in_flight = static_cast<double>(report.in_flight),
                                            .at = now - std::chrono::milliseconds{report.age}};
            const bool was_reachable = upstreams_.is_reachable(report.upstream);
            const bool is_news = upstreams_.observe(report.upstream, seen);
            const bool is_large = members_.live(now).size() > small_fleet;
            if (is_news && is_large && was_reachable != seen.reachable) {
                pending_reports_[report.upstream] = seen;
                urgent_ = true;
            }
        }
    }

    task<void> gossip_loop() {
        while (true) {
            co_await sleep_for(gossip_tick);
            const auto now = clock::now();
            upstreams_.forget_peers(members_.silent(now));
            upstreams_.forget_peers(members_.forget_silent(now));
            if (keepers_stale_ || now - keepers_assigned_at_ >= keeper_interval) {
                assign_keepers(now);
            }
            upstreams_.set_silent_domains(members_.silent_domains(now));
            upstreams_.refresh_estimates(members_.silent(now).empty(), now);
            count_platform_bytes();
            gossip_if_due(now);
        }
    }

    void count_platform_bytes() {
        spend(control_kind::key_value, sync_.take_key_value_bytes());
        spend(control_kind::vm_list, sync_.take_vm_list_bytes());
        spend(control_kind::claims, claims_.take_byte_count());
    }

    void gossip_if_due(time_point now) {
        pending_suspects_ = suspects_.take_news();
        urgent_ = urgent_ || !pending_suspects_.empty();
        const bool refresh = now - refreshed_at_ >= refresh_interval;
        const bool must = urgent_ || refresh || version_repeats_ > 0 || now - gossiped_at_ >= heartbeat;
        if (must || (introduce_ && budget_.take(0.0, now))) {
            gossip_to_fleet(refresh, now);
        }
        const bool usage_is_due = now - usage_sent_at_ >= usage_interval && budget_.take(0.0, now);
        if (refresh || usage_is_due) {
            send_usage(refresh);
            usage_sent_at_ = now;
        }
    }

    void gossip_to_fleet(bool refresh, time_point now) {
        wire::gossip message;
        message.counts = upstreams_.kept_counts();
        message.suspects = std::exchange(pending_suspects_, {});
        add_members(message, refresh);
        add_reports(message, now);
        add_marks(message, refresh);
        add_versions(message, refresh);
        std::vector<endpoint> targets;
        for (const member* other : members_.choose_targets(now)) {
            targets.push_back(other->address);
        }
        if (introduce_ || refresh || targets.empty()) {
            add_unheard_seeds(targets, now);
        }
        for (const endpoint& target : targets) {
            spend(control_kind::gossip, channel_.send(message, target));
        }
        gossiped_at_ = now;
        refreshed_at_ = refresh ? now : refreshed_at_;
        urgent_ = false;
        introduce_ = false;
    }

    /// Adds the counts that a keeper has not been told yet; all at a refresh.
    void add_usage(wire::gossip& message, std::uint64_t keeper, bool refresh) {
        for (const wire::usage_entry& entry : upstreams_.own_usage()) {
            auto& sent = sent_usage_[entry.upstream];
            const bool changed = sent != entry.in_flight || (refresh && entry.in_flight > 0);
            if (changed && upstreams_.keeper(entry.upstream) == keeper) {
                message.usage.push_back(entry);
                sent = entry.in_flight;
            }
        }
    }

    /// Tells keepers the counts that no other message has carried in time.
    void send_usage(bool refresh) {
        for (const member* other : members_.live_in_region(clock::now())) {
            wire::gossip message;
            add_usage(message, other->hash, refresh);
            if (!message.usage.empty()) {
                spend(control_kind::gossip, channel_.send(message, other->address));
            }
        }
    }

    /// Gives each upstream's count to one of the live routers.
    void assign_keepers(time_point now) {
        keepers_assigned_at_ = now;
        keepers_stale_ = false;
        const auto region = members_.live_in_region(now);
        const auto keeper = [&](std::uint64_t upstream) {
            return assigned_router(upstream, members_.self_hash(), region);
        };
        for (const std::uint32_t upstream : upstreams_.assign_keepers(keeper, members_.self_hash())) {
            sent_usage_.erase(upstream);
        }
    }

    void add_unheard_seeds(std::vector<endpoint>& targets, time_point now) {
        std::set<endpoint> heard;
        for (const member* other : members_.live(now)) {
            heard.insert(other->address);
        }
        std::ranges::copy_if(settings_.seeds, std::back_inserter(targets), [&](const endpoint& seed) {
            return to_text(seed) != settings_.advertised_address && !heard.contains(seed) &&
                   std::ranges::find(targets, seed) == targets.end();
        });
    }

    void add_members(wire::gossip& message, bool refresh) {
        const bool is_large = members_.live(clock::now()).size() > small_fleet;
        if (refresh || introduce_ || urgent_ || is_large) {
            message.members.push_back(members_.self());
            if (const auto other = members_.next_record_to_spread()) {
                message.members.push_back(*other);
            }
        }
    }

    void add_reports(wire::gossip& message, time_point now) {
        while (!pending_reports_.empty() && message.reports.size() < reports_per_message) {
            const auto [upstream, seen] = *pending_reports_.begin();
            pending_reports_.erase(pending_reports_.begin());
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - seen.at).count();
            message.reports.push_back(
                {upstream, static_cast<std::uint16_t>(std::clamp(seen.in_flight, 0.0, 65'535.0)),
                 static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, 65'535)), seen.reachable});
        }
    }

    void add_marks(wire::gossip& message, bool refresh) {
        if (refresh || marks_to_repeat_ > 0) {
            message.leaving = upstreams_.leaving_marks();
            marks_to_repeat_ = std::max(0, marks_to_repeat_ - 1);
        }
    }

    /// Names the generations held: new ones in several messages running, so that
    /// they cross a fleet that sends to a few routers at a time.
    void add_versions(wire::gossip& message, bool refresh) {
        for (const auto kind : {document_kind::configuration, document_kind::vm_list}) {
            const std::uint64_t generation = documents_.generation(kind);
            if (generation != 0 && (refresh || version_repeats_ > 0)) {
                message.documents.push_back({kind, generation});
            }
        }
        version_repeats_ = std::max(0, version_repeats_ - 1);
    }

    /// Spreads a document that has just come into force.
    void spread_versions() {
        const bool is_large = members_.live(clock::now()).size() > small_fleet;
        version_repeats_ = is_large ? version_rounds : 1;
        view_changed_ = true;
    }

    // Documents

    void pull_if_newer(std::uint64_t sender, const wire::document_version& version) {
        const auto peer = members_.address_of(sender);
        if (peer) {
            sync_.pull_if_newer(*peer, version);
        }
    }

    void adopt(std::shared_ptr<const configuration> next) {
        upstreams_.set_drained(next->root.drained);
        config_ = std::move(next);
        spread_versions();
    }

    void apply_vm_list(const std::vector<listed_vm>& vms) {
        const auto now = clock::now();
        upstreams_.apply_vm_list(vms, now);
        for (const listed_vm& vm : vms) {
            if (vm.is_entry) {
                members_.merge({.vm = vm.name,
                                .region = vm.region,
                                .failure_domain = vm.failure_domain,
                                .fleet_address = to_text(vm.address)},
                               now);
            }
        }
        keepers_stale_ = true;
        log_info("vm_list_applied", {{"vms", std::to_string(vms.size())}});
        spread_versions();
    }

    bool is_watcher() const {
        return is_assigned(watch_duty, members_.self_hash(), members_.live_in_domain(clock::now()),
                           watchers_per_domain);
    }

    // Probes and views

    task<void> probe_loop() {
        while (true) {
            const auto region = members_.live_in_region(clock::now());
            auto targets = upstreams_.probe_targets();
            std::erase_if(targets, [&](const upstream_table::target& target) {
                return !is_assigned(target.hash, members_.self_hash(), region, probers_per_upstream);
            });
            prober_.probe(targets);
            const bool nothing_known = targets.empty();
            const duration pause = nothing_known ? gossip_tick : duration{settings_.probe_interval};
            co_await sleep_for(pause);
        }
    }

    task<void> view_loop() {
        while (true) {
            co_await sleep_for(view_interval);
            const auto now = clock::now();
            if (view_changed_ || now - viewed_at_ >= heartbeat) {
                publish(now);
                claims_.expire(now);
                suspects_.expire(now);
            }
        }
    }

    void publish(time_point now) {
        const auto live = members_.live(now).size();
        auto next = std::make_shared<fleet_view>();
        next->config = config_;
        next->upstreams = upstreams_.view(now);
        next->live_routers = live + 1;
        view_.store(std::move(next));
        view_changed_ = false;
        viewed_at_ = now;
    }

    control_settings settings_;
    asio::io_context context_{1};
    wire::envelope envelope_;
    membership members_;
    upstream_table upstreams_;
    document_store documents_;
    fleet_channel channel_;
    peer_exchange exchange_;
    prober prober_;
    document_sync sync_;
    std::unique_ptr<kv_client> claim_service_;
    claim_registry claims_;
    suspect_registry suspects_;
    std::vector<wire::suspect_entry> pending_suspects_;
    control_meter meter_;
    token_bucket budget_;
    std::shared_ptr<const configuration> config_;
    snapshot<fleet_view> view_;

    std::map<std::uint32_t, upstream_observation> pending_reports_;
    std::map<std::uint32_t, std::uint16_t> sent_usage_;
    std::map<std::uint16_t, std::shared_ptr<pending_slot>> pending_slots_;
    std::uint16_t last_nonce_ = 0;
    int version_repeats_ = 0;
    time_point gossiped_at_;
    time_point usage_sent_at_;
    time_point keepers_assigned_at_;
    bool keepers_stale_ = true;
    time_point refreshed_at_;
    time_point viewed_at_;
    int marks_to_repeat_ = 0;
    bool urgent_ = true;
    bool introduce_ = true;
    bool view_changed_ = true;
    std::jthread thread_;
};

control_plane::control_plane(control_settings settings, std::uint64_t incarnation)
    : state_{std::make_unique<state>(std::move(settings), incarnation)} {}

control_plane::~control_plane() {
    stop();
}

io_result<endpoint> control_plane::start() {
    return state_->start();
}

void control_plane::stop() {
    state_->stop();
}

void control_plane::leave() {
    state_->post([state = state_.get()] { state->leave(); });
}

std::shared_ptr<const fleet_view> control_plane::view() const {
    return state_->view();
}

void control_plane::report_contact(std::uint64_t upstream, bool succeeded) {
    state_->post([state = state_.get(), upstream, succeeded] {
        state->record_contact(short_hash(upstream), succeeded);
    });
}

void control_plane::report_load(std::uint64_t upstream, double in_flight, std::uint64_t incarnation,
                                bool leaving) {
    const upstream_observation seen{true, in_flight, incarnation, leaving, clock::now()};
    state_->post([state = state_.get(), upstream, seen] { state->observe(short_hash(upstream), seen); });
}

boost::asio::awaitable<slot_verdict> control_plane::reserve_slot(std::uint64_t upstream,
                                                                 std::uint32_t limit) {
    return state_->reserve_slot(short_hash(upstream), limit);
}

boost::asio::any_io_executor control_plane::executor() const {
    return state_->executor();
}

claim_registry& control_plane::claims() {
    return state_->claims();
}

suspect_registry& control_plane::suspects() {
    return state_->suspects();
}

const control_meter& control_plane::meter() const {
    return state_->meter();
}

} // namespace citronwick
