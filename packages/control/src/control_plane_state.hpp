#ifndef CITRONWICK_CONTROL_CONTROL_PLANE_STATE_HPP_INCLUDED
#define CITRONWICK_CONTROL_CONTROL_PLANE_STATE_HPP_INCLUDED

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
#include "citronwick/io/event_loop.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/policy/token_bucket.hpp"
#include "control_timing.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <pthread.h>
#include <ranges>
#include <set>
#include <thread>

namespace citronwick {

/// State of the control thread. All functions run on that thread, except `start`,
/// `stop`, `post`, `view`, `executor`, `suspects` and `meter`.
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
                    byte_counter(control_traffic::documents)},
          prober_{
              context_.get_executor(),
              [this](std::uint32_t upstream, const upstream_observation& seen) { observe(upstream, seen); },
              byte_counter(control_traffic::probes)},
          sync_{context_.get_executor(),
                settings_,
                documents_,
                exchange_,
                {.on_configuration =
                     [this](std::shared_ptr<const configuration> next) {
                         apply_configuration(std::move(next));
                     },
                 .on_vm_list = [this](const std::vector<listed_vm>& vms) { apply_vm_list(vms); },
                 .is_watcher = [this] { return is_watcher(); }}},
          claim_service_{make_etcd_gateway_client(context_.get_executor(), settings_.key_value_servers,
                                                  settings_.platform_timeout)},
          claims_{*claim_service_, settings_.key_prefix, settings_.vm + "#" + std::to_string(incarnation),
                  settings_.claim_lifetime,
                  [this](endpoint claimant, wire::claim_query query) {
                      return exchange_.query_claimant(std::move(claimant), std::move(query));
                  }},
          budget_{static_cast<double>(settings_.control_bytes_per_second),
                  control_timing::budget_burst_seconds * settings_.control_bytes_per_second, clock::now()},
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
        spawn("fleet_channel", [this] {
            return channel_.run(
                [this](const wire::header& from, const wire::gossip& message) { receive(from, message); });
        });
        spawn("peer_listener", [this] { return exchange_.serve(); });
        spawn("gossip", [this] { return gossip_loop(); });
        spawn("probes", [this] { return probe_loop(); });
        sync_.start();
        spawn("views", [this] { return view_loop(); });
        thread_ = std::jthread{[this] { run_event_loop(context_, control_timing::control_thread_name); }};
        pthread_setname_np(thread_.native_handle(), control_timing::control_thread_name);
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

    void record_connect_result(std::uint32_t upstream, bool succeeded) {
        upstreams_.record_connect_result(upstream, succeeded, clock::now());
        view_changed_ = true;
    }

    task<slot_decision> reserve_slot(std::uint32_t upstream, std::uint32_t limit) {
        const auto count_owner = members_.address_of(upstreams_.count_owner(upstream));
        const auto in_flight = upstreams_.local_in_flight(upstream);
        if (!count_owner || !budget_.take(0.0, clock::now())) {
            co_return slot_decision::unconfirmed;
        }
        const std::uint16_t nonce = ++last_nonce_;
        const auto pending = std::make_shared<pending_reservation>(context_);
        pending_reservations_[nonce] = pending;
        wire::gossip request;
        request.slot_requests.push_back({upstream, in_flight, clamp_to_uint16(limit), nonce});
        sent_usage_[upstream] = in_flight;
        add_usage(request, upstreams_.count_owner(upstream), false);
        record_bytes(control_traffic::gossip, channel_.send(request, *count_owner));
        pending->timer.expires_after(control_timing::slot_timeout);
        co_await pending->timer.async_wait(use_tuple);
        pending_reservations_.erase(nonce);
        co_return pending->decision;
    }

    std::shared_ptr<const fleet_view> view() const { return view_.load(); }
    asio::any_io_executor executor() { return context_.get_executor(); }
    claim_registry& claims() { return claims_; }
    suspect_registry& suspects() { return suspects_; }
    const control_meter& meter() const { return meter_; }

private:
    /// Slot request that awaits the count owner's reply.
    struct pending_reservation {
        explicit pending_reservation(asio::io_context& context) : timer{context} {}
        asio::steady_timer timer;
        slot_decision decision = slot_decision::unconfirmed;
    };

    static std::uint16_t clamp_to_uint16(std::uint32_t value) {
        return static_cast<std::uint16_t>(
            std::min<std::uint32_t>(value, std::numeric_limits<std::uint16_t>::max()));
    }

    /// Binds UDP and TCP to the same port. A free UDP port may be in use in TCP, so if
    /// the settings leave the port open, several are tried.
    io_result<endpoint> open_fleet_address();

    wire::member_record self_record(std::uint64_t incarnation) const {
        return {.vm = settings_.vm,
                .region = settings_.region,
                .failure_domain = settings_.failure_domain,
                .incarnation = incarnation};
    }

    wire::header header(std::uint64_t incarnation) const { return {hash64(settings_.vm), incarnation, 0}; }

    std::function<void(std::size_t)> byte_counter(control_traffic kind) {
        return [this, kind](std::size_t bytes) { record_bytes(kind, bytes); };
    }

    void record_bytes(control_traffic kind, std::size_t bytes) {
        meter_.add(kind, bytes);
        if (kind != control_traffic::claims) {
            budget_.charge(static_cast<double>(bytes), clock::now());
        }
    }

    void spawn(std::string name, std::function<task<void>()> start) {
        spawn_restarting(context_.get_executor(), std::move(name), std::move(start));
    }

    // Fleet channel

    void receive(const wire::header& from, const wire::gossip& message);

    void repair_suspects(std::uint64_t sender, const wire::gossip& message, time_point now);
    void answer_slot_requests(std::uint64_t requester, const std::vector<wire::slot_request>& requests);

    void handle_slot_reply(const wire::slot_reply& reply, time_point now);

    void handle_reports(const std::vector<wire::report_entry>& reports, time_point now);

    task<void> gossip_loop();

    void count_platform_bytes() {
        record_bytes(control_traffic::key_value, sync_.take_key_value_bytes());
        record_bytes(control_traffic::vm_list, sync_.take_vm_list_bytes());
        record_bytes(control_traffic::claims, claims_.take_byte_count());
    }

    void gossip_if_due(time_point now);

    void gossip_to_fleet(bool refresh, time_point now);

    /// Adds the usage that the count owner has not received yet; at a refresh, all that
    /// isn't zero.
    void add_usage(wire::gossip& message, std::uint64_t count_owner, bool refresh);

    /// Sends each count owner the usage that no other message has carried yet.
    void send_usage(bool refresh);

    /// Assigns each upstream's count to one of the live routers of the region.
    void assign_count_owners(time_point now);

    void add_silent_seeds(std::vector<endpoint>& targets, time_point now);

    void add_members(wire::gossip& message, bool refresh);

    void add_reports(wire::gossip& message, time_point now);

    void add_leaving_marks(wire::gossip& message, bool refresh) {
        if (refresh || leaving_mark_rounds_left_ > 0) {
            message.leaving = upstreams_.leaving_marks();
            leaving_mark_rounds_left_ = std::max(0, leaving_mark_rounds_left_ - 1);
        }
    }

    /// Adds the generations of the current documents. A new generation is announced in
    /// several consecutive messages, as a large fleet gossips to a few routers at a time.
    void add_versions(wire::gossip& message, bool refresh);

    /// Announces a document that has just been applied.
    void announce_versions() {
        const bool is_large = members_.live(clock::now()).size() > control_timing::max_full_mesh_peers;
        version_rounds_left_ = is_large ? control_timing::version_rounds : 1;
        view_changed_ = true;
    }

    // Documents

    void pull_if_newer(std::uint64_t sender, const wire::document_version& version) {
        const auto peer = members_.address_of(sender);
        if (peer) {
            sync_.pull_if_newer(*peer, version);
        }
    }

    void apply_configuration(std::shared_ptr<const configuration> next) {
        upstreams_.set_drained(next->root.drained);
        upstreams_.set_evacuated(next->root.evacuated);
        config_ = std::move(next);
        announce_versions();
    }

    void apply_vm_list(const std::vector<listed_vm>& vms);

    bool is_watcher() const {
        return is_assigned(control_timing::platform_watcher_key, members_.self_hash(),
                           members_.live_in_domain(clock::now()), control_timing::watchers_per_domain);
    }

    // Probes and views

    task<void> probe_loop();

    task<void> view_loop();

    void publish(time_point now);

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
    std::map<std::uint16_t, std::shared_ptr<pending_reservation>> pending_reservations_;
    std::uint16_t last_nonce_ = 0;
    int version_rounds_left_ = 0;
    time_point last_gossip_at_;
    time_point last_usage_at_;
    time_point count_owners_assigned_at_;
    bool count_owners_stale_ = true;
    time_point last_refresh_at_;
    time_point view_published_at_;
    int leaving_mark_rounds_left_ = 0;
    bool urgent_ = true;
    bool announce_members_ = true;
    bool view_changed_ = true;
    std::jthread thread_;
};

} // namespace citronwick

#endif
