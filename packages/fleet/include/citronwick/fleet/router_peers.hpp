#ifndef CITRONWICK_FLEET_ROUTER_PEERS_HPP_INCLUDED
#define CITRONWICK_FLEET_ROUTER_PEERS_HPP_INCLUDED

#include "citronwick/control/fleet_channel.hpp"
#include "citronwick/control/membership.hpp"
#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/fleet/load_exchange.hpp"
#include "citronwick/fleet/missed_changes.hpp"
#include "citronwick/fleet/permit_exchange.hpp"
#include "citronwick/fleet/place_exchange.hpp"
#include "citronwick/fleet/recent_changes.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/store_outage.hpp"
#include "citronwick/fleet/stream_exchange.hpp"
#include "citronwick/fleet/suspect_exchange.hpp"
#include "citronwick/fleet/watcher_selector.hpp"
#include "citronwick/io/watched_kv_client.hpp"
#include "citronwick/policy/token_bucket.hpp"
#include "citronwick/wire/envelope.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

class begun_streams;
class stream_numberings;
class upstream_observations;
class suspect_registry;
class upstream_limits;
struct routing_settings;

/// Callbacks by which `router_peers` reads this router's state and passes on
/// what it receives from other routers.
struct peer_callbacks {
    std::function<store_position()> position;         ///< up to which all changes of the store are known
    std::function<bool()> is_store_reachable;         ///< by this router
    std::function<std::optional<duration>()> key_age; ///< age of the newest confirmation
    std::function<std::optional<time_point>(time_point now)> lapse_window_end; ///< see `store_outage`
    std::function<std::optional<service_span>()> known_service_span;
    std::function<void(service_span)> on_service_span;     ///< known to a peer
    std::function<const load_exchange::load_map&()> loads; ///< counters of the published upstreams
    std::function<void(store_position)> on_position;       ///< known to a peer
    /// Called with changes of the store that a peer forwards.
    /// @param lapse time for which missing entries may have lapsed, as the watcher knows
    /// @return whether they were new
    std::function<bool(const kv_changes&, store_position previous, duration lapse)> on_changes;
    std::function<void(boot_time asked_at, duration age, store_position)> on_freshness_answer;
    place_exchange::lendable places_to_lend;
};

/// Exchanges state with the other routers: liveness, load, the freshness of the
/// configuration, and observations of upstreams.
class router_peers {
public:
    router_peers(const asio::any_io_executor& executor, const routing_settings& settings,
                 upstream_observations& observations, suspect_registry& suspects, upstream_limits& limits,
                 const begun_streams& streams, stream_numberings& numberings, peer_callbacks callbacks);

    /// Binds the fleet channel.
    io_result<endpoint> open(const endpoint& listen);

    /// Receives until the channel is closed.
    task<void> receive();

    /// Sets the key that all routers of the fleet share.
    void set_key(const std::string& key);
    bool has_key() const { return !key_.empty(); }

    /// What is needed to connect to the other live routers.
    fleet_directory directory(time_point now) const;

    /// Sets this router's incarnation. Nothing is sent before that.
    void set_incarnation(std::uint64_t incarnation);

    /// Adds or updates a router from its entry in the store.
    void merge_member(const wire::member_record& record, time_point now);

    /// Records that a router's entry was removed from the store.
    void record_unregistered(const std::string& vm) { members_.record_unregistered(vm); }

    /// Sends the messages that are due. To be called periodically.
    void tick(time_point now);

    /// Keeps changes of the store for routers that miss them, and forwards them to the
    /// other routers of this failure domain if this router is their watcher.
    /// @param lapse_window_end set if missing entries may have lapsed until then
    void forward_changes(const kv_changes& seen, store_position previous,
                         std::optional<time_point> lapse_window_end, time_point now);

    /// Requests a permit for one request to a rate-limited upstream.
    /// @param saving_ms see `permit_pool::take`
    /// @param reply called once, or never if the coordinator does not answer
    void request_permit(std::uint32_t upstream, double saving_ms, permit_exchange::reply_callback reply,
                        time_point now);

    place_exchange& places() { return places_; }

    /// Asks the other routers at which version they saw a stream begin.
    /// @param key see `begun_streams::key`
    /// @param reply see `stream_exchange::ask`
    void ask_stream_version(std::uint64_t key, stream_exchange::reply_callback reply, time_point now);

    /// Announces that this router is leaving.
    void leave(time_point now);

    /// Whether this router watches the store for its failure domain.
    bool is_watcher(time_point now) const;

    /// Number of failure domains whose watcher precedes this one in an order that all
    /// routers share.
    std::size_t watcher_rank(time_point now) const;

    /// Number of live routers, including this one.
    std::size_t live_routers(time_point now) const;

    /// Hashes of the routers that may send requests, including this one, in ascending order.
    std::vector<std::uint64_t> active_routers(time_point now) const;

    /// Hashes of the live routers, including this one, in ascending order.
    std::vector<std::uint64_t> heard_routers(time_point now) const;
    std::uint64_t self_hash() const { return members_.self_hash(); }

    /// Number of routers registered in the store, including this one.
    std::size_t known_routers() const;

    std::uint64_t sent_bytes() const { return sent_bytes_; }

private:
    void handle_message(const wire::header& from, const wire::gossip& message);
    void handle_changes(const wire::gossip& message, const endpoint& from, time_point now);
    void record_watcher_report(std::uint64_t sender, const wire::gossip& message);
    void notify_positions(const wire::gossip& message) const;
    void answer_queries(const wire::gossip& message, const endpoint& to, time_point now);
    void add_missed_changes(const wire::gossip& query, wire::gossip& answer, time_point now) const;
    void record_positions(std::uint64_t sender, const wire::gossip& message, time_point now);
    void query_watcher(time_point now);
    void query(const endpoint& to, bool to_coordinator, time_point now);
    void send_updates(time_point now);
    void exchange_tables(time_point now);
    void relay_changes(const wire::gossip& message, std::uint64_t watcher, time_point now);
    void relay_table(const wire::gossip& message, time_point now);
    void send_uncharged(const wire::gossip& message, std::uint64_t to);
    coordinator_network make_coordinator_network();
    void send(const wire::gossip& message, const endpoint& to, time_point now);
    void send_to(const wire::gossip& message, std::uint64_t router, time_point now);
    wire::store_position position() const;
    void add_era(wire::gossip& message) const;
    void add_service_span(wire::gossip& message, time_point now) const;
    wire::gossip load_message(time_point now);
    wire::gossip status_message(time_point now);
    std::uint64_t watcher(time_point now) const;
    std::vector<std::uint64_t> domain_peers(time_point now) const;
    std::vector<std::uint64_t> children(std::uint64_t root, std::uint64_t number, time_point now) const;

    const routing_settings& settings_;
    upstream_observations& observations_;
    stream_numberings& numberings_;
    peer_callbacks callbacks_;
    wire::envelope envelope_;
    membership members_;
    fleet_channel channel_;
    watcher_selector watcher_selector_;
    load_exchange loads_;
    permit_exchange permits_;
    place_exchange places_;
    suspect_exchange suspects_;
    stream_exchange streams_;
    recent_changes recent_;
    missed_changes missed_;
    token_bucket budget_;
    std::string key_; ///< empty before it is known
    bool is_registered_ = false;
    bool is_leaving_ = false;
    time_point load_sent_at_;   ///< time of the last load report
    time_point status_sent_at_; ///< time of the last status message
    time_point watcher_queried_at_;
    std::uint64_t sent_bytes_ = 0;
};

} // namespace citronwick

#endif
