#ifndef CITRONWICK_FLEET_ROUTING_PLANE_STATE_HPP_INCLUDED
#define CITRONWICK_FLEET_ROUTING_PLANE_STATE_HPP_INCLUDED

#include "citronwick/fleet/routing_plane.hpp"

#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/snapshot.hpp"
#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/fleet/borrowed_place.hpp"
#include "citronwick/fleet/early_closers.hpp"
#include "citronwick/fleet/last_events.hpp"
#include "citronwick/fleet/platform_adapter.hpp"
#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/router_peers.hpp"
#include "citronwick/fleet/routing_settings.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/store_follower.hpp"
#include "citronwick/fleet/stream_numberings.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/fleet/upstream_observations.hpp"
#include "citronwick/fleet/version_assignment.hpp"
#include "citronwick/io/counted_kv_client.hpp"
#include "citronwick/io/event_loop.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/policy/key_freshness.hpp"
#include "declared_fleet.hpp"
#include "fleet_registration.hpp"
#include "plane_timing.hpp"
#include "versioned_services.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <pthread.h>
#include <thread>

namespace citronwick {

class routing_plane::state {
public:
    state(routing_settings settings, const platform_adapter& adapter)
        : settings_{std::move(settings)}, layout_{adapter.layout()},
          store_{adapter.connect_store(context_.get_executor(), settings_.store, settings_.store_timeout),
                 store_calls_},
          follower_{context_.get_executor(), store_, settings_.lapse_grace, make_store_listener()},
          peers_{context_.get_executor(), settings_, observations_, suspects_, limits_, streams_, numberings_,
                 make_peer_callbacks()},
          declared_{adapter, suspects_},
          versions_{context_.get_executor(), store_, layout_.own_prefix + plane_timing::version_keys,
                    [this] { publish(clock::now()); }},
          freshness_{settings_.key_lifetime - plane_timing::key_margin},
          view_{std::make_shared<const routing_view>()} {}

    io_result<endpoint> start(const endpoint& listen) {
        const auto bound = peers_.open(listen);
        if (bound.has_error()) {
            return bound;
        }
        registration_.emplace(context_.get_executor(), store_, layout_.own_prefix,
                              wire::member_record{.vm = settings_.vm,
                                                  .region = settings_.region,
                                                  .failure_domain = settings_.failure_domain,
                                                  .fleet_address = to_text(*bound)},
                              make_registration_listener());
        spawn("fleet_channel", [this] { return peers_.receive(); });
        spawn("store_changes", [this] { return follower_.run(); });
        spawn("store_confirmations", [this] { return follower_.run_confirmations(); });
        spawn("registration", [this] { return registration_->run(); });
        spawn("ticks", [this] { return tick_loop(); });
        thread_ = std::jthread{[this] { run_event_loop(context_, plane_timing::control_thread_name); }};
        pthread_setname_np(thread_.native_handle(), plane_timing::control_thread_name);
        return bound;
    }

    void stop() {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void leave() {
        asio::post(context_, [this] { peers_.leave(clock::now()); });
    }

    std::shared_ptr<const routing_view> view() const { return view_.load(); }
    const routing_settings& settings() const { return settings_; }
    upstream_observations& observations() { return observations_; }
    suspect_registry& suspects() { return suspects_; }
    upstream_limits& limits() { return limits_; }
    begun_streams& streams() { return streams_; }
    stream_numberings& numberings() { return numberings_; }
    last_events& ends() { return ends_; }
    early_closers& early_closes() { return early_closes_; }
    reach_monitor& reach() { return reach_; }
    std::uint64_t gossip_bytes() const { return gossip_bytes_.load(std::memory_order_relaxed); }
    const kv_call_counts& store_calls() const { return store_calls_; }

    std::optional<duration> key_age(boot_time now) const {
        const auto confirmed_at = boot_time{confirmed_at_.load(std::memory_order_acquire)};
        return confirmed_at == boot_time{} ? std::nullopt : std::optional{now - confirmed_at};
    }

    bool keys_are_fresh(boot_time now) const {
        const auto age = key_age(now);
        return age && *age < freshness_.limit();
    }

    void report_broken_connection(std::vector<crash_suspect> suspects, std::uint64_t upstream) {
        asio::post(context_, [this, upstream, suspects = std::move(suspects)] {
            declared_.record_broken_connection(suspects, upstream, clock::now());
        });
    }

    void request_permit(std::uint64_t upstream, double saving_ms,
                        std::function<void(permit_decision)> reply) {
        asio::post(context_, [this, upstream, saving_ms, reply = std::move(reply)]() mutable {
            peers_.request_permit(short_hash(upstream), saving_ms, std::move(reply), clock::now());
        });
    }

    void borrow_place(std::uint64_t lender, std::uint64_t upstream, duration lifetime,
                      std::function<void(std::shared_ptr<const borrowed_place>)> reply) {
        auto on_reply = [this, lender, reply = std::move(reply)](std::optional<std::uint32_t> nonce) {
            reply(nonce ? make_borrowed_place(lender, *nonce) : nullptr);
        };
        asio::post(context_, [this, lender, upstream, lifetime, on_reply = std::move(on_reply)] {
            peers_.places().request(lender, short_hash(upstream), lifetime, on_reply, clock::now());
        });
    }

    void ask_stream_version(std::uint64_t key, std::function<void(std::optional<std::uint32_t>)> reply) {
        asio::post(context_, [this, key, reply = std::move(reply)]() mutable {
            peers_.ask_stream_version(key, std::move(reply), clock::now());
        });
    }

    void request_confirmation(boot_time since, std::function<void(bool)> reply) {
        asio::post(context_, [this, since, reply = std::move(reply)]() mutable {
            confirmation_requests_.push_back({since, std::move(reply), clock::now()});
            answer_confirmation_requests();
            if (!confirmation_requests_.empty()) {
                follower_.confirm_since(since);
            }
        });
    }

    void report_leaving_upstream(std::uint64_t upstream) {
        asio::post(context_, [this, upstream] {
            if (declared_.record_leaving(upstream)) {
                publish(clock::now());
            }
        });
    }

    void report_refusing_upstream(std::uint64_t upstream) {
        asio::post(context_,
                   [this, upstream] { declared_.record_refusing_upstream(upstream, clock::now()); });
    }

private:
    std::shared_ptr<const borrowed_place> make_borrowed_place(std::uint64_t lender, std::uint32_t nonce) {
        return std::make_shared<const borrowed_place>([this, lender, nonce] {
            asio::post(context_,
                       [this, lender, nonce] { peers_.places().give_back(lender, nonce, clock::now()); });
        });
    }

    void spawn(std::string name, std::function<task<void>()> start) {
        spawn_restarting(context_.get_executor(), std::move(name), std::move(start));
    }

    store_listener make_store_listener() {
        return {.on_listing =
                    [this](const kv_listing& listing, std::optional<time_point> usable_until) {
                        apply_listing(listing, usable_until);
                    },
                .on_changes =
                    [this](const kv_changes& seen, store_position previous,
                           std::optional<time_point> usable_until) {
                        apply_changes(seen, previous, usable_until);
                    },
                .on_confirmed =
                    [this](boot_time asked_at) {
                        freshness_.confirm(asked_at);
                        publish_freshness();
                    },
                .on_lapse_window_closed = [this] { declared_.close_lapse_window(clock::now()); }};
    }

    peer_callbacks make_peer_callbacks() {
        return {.position = [this] { return follower_.position(); },
                .is_store_reachable = [this] { return follower_.is_store_reachable(clock::now()); },
                .key_age = [this] { return freshness_.age(boot_now()); },
                .lapse_window_end = [this](time_point now) { return follower_.lapse_window_end(now); },
                .known_service_span = [this] { return follower_.known_service_span(); },
                .on_service_span = [this](service_span span) { follower_.record_peer_span(span); },
                .loads = [this]() -> const auto& { return loads_; },
                .on_position = [this](store_position position) { follower_.notify_position(position); },
                .on_changes =
                    [this](const kv_changes& forwarded, store_position previous, duration lapse) {
                        return follower_.apply_forwarded(forwarded, previous, lapse);
                    },
                .on_freshness_answer =
                    [this](boot_time asked_at, duration age, store_position position) {
                        follower_.record_peer_confirmation(boot_now() - (asked_at - age));
                        if (freshness_.confirm_by_peer(asked_at, age, position, follower_.position())) {
                            publish_freshness();
                        }
                    },
                .places_to_lend =
                    [this](std::uint32_t upstream) {
                        return places_to_lend(*view_.load(), upstream, limits_, clock::now());
                    }};
    }

    registration_listener make_registration_listener() {
        return {.on_router =
                    [this](const wire::member_record& record) { peers_.merge_member(record, clock::now()); },
                .on_router_removed = [this](const std::string& vm) { peers_.record_unregistered(vm); },
                .on_fleet_key = [this](const std::string& key) { peers_.set_key(key); },
                .on_registered = [this](std::uint64_t incarnation) { peers_.set_incarnation(incarnation); }};
    }

    void publish_freshness() {
        const auto confirmed = freshness_.confirmed_at();
        const auto now = boot_now();
        if (!keys_are_fresh(now)) {
            log_info("keys_confirmed", {{"position", to_text(follower_.position())},
                                        {"age_ms", plane_timing::to_milliseconds(now - *confirmed)}});
        }
        confirmed_at_.store(static_cast<std::int64_t>(*confirmed), std::memory_order_release);
        staleness_logged_ = false;
        answer_confirmation_requests();
    }

    void answer_confirmation_requests() {
        const auto confirmed = freshness_.confirmed_at();
        std::erase_if(confirmation_requests_, [&](const confirmation_request& each) {
            const bool is_answered = confirmed && *confirmed >= each.since;
            if (is_answered) {
                each.reply(true);
            }
            return is_answered;
        });
    }

    // Changes of the store

    void apply_listing(const kv_listing& listing, std::optional<time_point> usable_until) {
        const auto now = clock::now();
        registration_->begin_listing(listing.position);
        versions_.begin_listing(listing.position.era, now);
        for (const kv_item& item : listing.items) {
            apply_change({item.key, item.value, item.position}, usable_until, now);
        }
        declared_.retain_listed(listing, usable_until, now);
        registration_->end_listing();
        versions_.end_listing();
        log_info("store_listed", {{"keys", std::to_string(listing.items.size())},
                                  {"items_without_key", std::to_string(listing.items_without_key)},
                                  {"position", to_text(listing.position)},
                                  {"may_have_lapsed", usable_until ? "yes" : "no"}});
        publish(now);
    }

    void apply_changes(const kv_changes& seen, store_position previous,
                       std::optional<time_point> usable_until) {
        const auto now = clock::now();
        peers_.forward_changes(seen, previous, usable_until, now);
        for (const kv_change& change : seen.changes) {
            apply_change(change, usable_until, now);
        }
        publish(now);
    }

    void apply_change(const kv_change& change, std::optional<time_point> usable_until, time_point now) {
        if (!declared_.apply(change, usable_until, now) && !versions_.apply(change, now)) {
            registration_->apply(change);
        }
    }

    void publish(time_point now) {
        versions_checked_at_ = {};
        auto next = std::make_shared<routing_view>();
        next->config = declared_.config();
        next->upstreams = declared_.usable();
        next->leaving = declared_.leaving();
        next->live_routers = peers_.live_routers(now);
        next->known_routers = peers_.known_routers();
        next->active_routers = peers_.active_routers(now);
        next->heard_routers = peers_.heard_routers(now);
        next->self = peers_.self_hash();
        next->stream_versions = versions_.slots();
        next->unproven_versions = versions_.unproven();
        next->config_changed_at =
            next->config == view_.load()->config ? view_.load()->config_changed_at : now;
        next->position = follower_.position();
        next->evacuated_domains = declared_.evacuated_domains().size();
        next->evacuated = declared_.evacuated_upstreams();
        next->unusable_entries = declared_.unusable_entries();
        set_cold_allowances(*next, now);
        loads_.clear();
        for (const auto& [service, upstreams] : next->upstreams) {
            for (const routed_upstream& each : upstreams) {
                loads_[short_hash(each.hash)] = each.load;
            }
        }
        view_.store(std::move(next));
        if (freshness_.advance(follower_.position())) {
            publish_freshness();
        }
    }

    /// Divides what cold upstreams bear between the routers of a view.
    void set_cold_allowances(routing_view& next, time_point now) const {
        for (auto& [name, upstreams] : next.upstreams) {
            const auto* const service = next.config ? next.config->find_service(name) : nullptr;
            if (service == nullptr || !service->cold_rate) {
                continue;
            }
            for (routed_upstream& each : upstreams) {
                if (now < each.cold_until) {
                    each.cold =
                        cold_allowance_of(each.hash, *service->cold_rate, next.self, next.active_routers);
                    each.load->cold_sends.close_until(started_at_ + each.cold->interval);
                }
            }
        }
    }

    // Periodic tasks

    task<void> tick_loop() {
        asio::steady_timer timer{context_};
        while (true) {
            timer.expires_after(plane_timing::tick_interval);
            co_await timer.async_wait(use_tuple);
            tick(clock::now());
        }
    }

    void tick(time_point now) {
        const bool upstreams_changed = declared_.expire(now);
        const auto current = view_.load();
        const bool fleet_changed = peers_.live_routers(now) != current->live_routers ||
                                   peers_.known_routers() != current->known_routers ||
                                   peers_.active_routers(now) != current->active_routers ||
                                   peers_.heard_routers(now) != current->heard_routers;
        if (upstreams_changed || fleet_changed) {
            publish(now);
        }
        follower_.set_watcher(peers_.is_watcher(now));
        check_freshness();
        peers_.tick(now);
        if (fleet_changed || now - directory_set_at_ >= plane_timing::directory_interval) {
            directory_set_at_ = now;
            reach_.set_directory(peers_.directory(now));
        }
        check_versions(now);
        gossip_bytes_.store(peers_.sent_bytes(), std::memory_order_relaxed);
        if (now - calls_logged_at_ >= plane_timing::calls_log_interval) {
            calls_logged_at_ = now;
            log_calls();
        }
        if (now - last_expiry_ >= plane_timing::expiry_interval) {
            last_expiry_ = now;
            observations_.expire(declared_.hashes(), now);
            limits_.expire(declared_.hashes(), now);
            suspects_.expire(now);
            streams_.expire(now);
            std::erase_if(confirmation_requests_, [now](const confirmation_request& each) {
                return now - each.asked_at >= plane_timing::expiry_interval;
            });
            numberings_.expire(now);
            ends_.expire(now);
            early_closes_.expire(now);
        }
    }

    void check_versions(time_point now) {
        if (now - versions_checked_at_ < plane_timing::version_check_interval || !peers_.is_watcher(now)) {
            return;
        }
        versions_checked_at_ = now;
        if (const auto config = declared_.config()) {
            const auto services =
                versioned_services(*config, declared_.usable(), observations_, settings_.key_lifetime, now);
            versions_.tick(services, static_cast<int>(peers_.watcher_rank(now)) * plane_timing::writer_delay,
                           now);
        }
    }

    /// Logs the number of answered store calls since start, by kind.
    void log_calls() const {
        const auto answered = [this](kv_call kind) {
            return std::to_string(store_calls_.by_kind.at(static_cast<std::size_t>(kind)).answered);
        };
        log_info("store_calls", {{"write", answered(kv_call::write)},
                                 {"renewal", answered(kv_call::renewal)},
                                 {"listing", answered(kv_call::listing)},
                                 {"revision", answered(kv_call::revision)},
                                 {"watch", answered(kv_call::watch)},
                                 {"on_duty", peers_.is_watcher(clock::now()) ? "yes" : "no"}});
    }

    void check_freshness() {
        const auto now = boot_now();
        const auto age = freshness_.age(now);
        if (!age || *age > plane_timing::self_confirm_age) {
            follower_.request_confirmation();
        }
        if (age && !freshness_.is_fresh(now) && !staleness_logged_) {
            staleness_logged_ = true;
            log_warn("keys_not_confirmed", {{"age_ms", plane_timing::to_milliseconds(*age)},
                                            {"limit_ms", plane_timing::to_milliseconds(freshness_.limit())},
                                            {"position", to_text(follower_.position())}});
        }
    }

    struct confirmation_request {
        boot_time since;
        std::function<void(bool)> reply;
        time_point asked_at;
    };

    routing_settings settings_;
    store_layout layout_;
    asio::io_context context_{1};
    upstream_observations observations_;
    suspect_registry suspects_;
    upstream_limits limits_;
    begun_streams streams_;
    stream_numberings numberings_;
    last_events ends_;
    early_closers early_closes_;
    reach_monitor reach_;
    kv_call_counts store_calls_;
    counted_kv_client store_;
    store_follower follower_;
    router_peers peers_;
    std::optional<fleet_registration> registration_;
    declared_fleet declared_;
    version_assignment versions_;
    key_freshness freshness_;
    std::map<std::uint32_t, std::shared_ptr<upstream_load>> loads_;
    std::vector<confirmation_request> confirmation_requests_;
    time_point started_at_ = clock::now();
    time_point last_expiry_;
    time_point directory_set_at_;
    time_point versions_checked_at_;
    time_point calls_logged_at_;
    bool staleness_logged_ = false;
    std::atomic<std::int64_t> confirmed_at_{0}; ///< nanoseconds of `boot_time`, 0 for never
    std::atomic<std::uint64_t> gossip_bytes_{0};
    snapshot<routing_view> view_;
    std::jthread thread_;
};

} // namespace citronwick

#endif
