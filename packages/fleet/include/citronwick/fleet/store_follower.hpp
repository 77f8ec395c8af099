#ifndef CITRONWICK_FLEET_STORE_FOLLOWER_HPP_INCLUDED
#define CITRONWICK_FLEET_STORE_FOLLOWER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/store_outage.hpp"
#include "citronwick/io/watched_kv_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace citronwick {

/// Callbacks of `store_follower`.
struct store_listener {
    /// Called with a complete listing.
    /// @param lapse_window_end set if the store was down recently, so that entries may
    ///        be missing until then because their leases could not be renewed
    std::function<void(const kv_listing&, std::optional<time_point> lapse_window_end)> on_listing;
    /// Called with new changes.
    /// @param previous position up to which all changes had been delivered before, in
    ///        the same era
    /// @param lapse_window_end as for `on_listing`
    std::function<void(const kv_changes&, store_position previous,
                       std::optional<time_point> lapse_window_end)>
        on_changes;
    /// Called when the state delivered so far is confirmed to have been current
    /// at the given time.
    std::function<void(boot_time requested_at)> on_confirmed;
    /// Called when a lapse window turns out to be none: the store had served the fleet.
    std::function<void()> on_lapse_window_closed;
};

/// Follows the changes of all keys in the platform's store.
///
/// The watcher of a failure domain keeps a watch open. It also polls the store's
/// revision at short intervals, because a watch without events does not prove
/// that nothing has changed. The other routers read from the store only when a
/// peer announces a change, when their state has gone unconfirmed for a while, or
/// to find out whether the store serves them again after a failed call.
///
/// A response, or a peer, that names a newer era than the one followed means that the
/// store has come back from a copy. The keys are then listed anew, and what is missing
/// may have been written after the copy was taken: its writers have the lapse window
/// to write it again.
class store_follower {
public:
    /// @param lapse_grace time after an outage in which expired entries reappear
    store_follower(const asio::any_io_executor& executor, watched_kv_client& store, duration lapse_grace,
                   store_listener listener);

    /// Follows the store until the executor stops.
    task<void> run();

    /// Confirms the known state periodically until the executor stops.
    task<void> run_confirmations();

    /// Sets whether this router is the watcher of its failure domain.
    void set_watcher(bool is_watcher);

    /// Applies changes that a peer forwards, unless there is a gap before them.
    /// @param previous position of the change before the first one
    /// @param lapse time for which the peer takes missing entries for lapsed ones
    /// @return whether they were new and have been applied
    bool apply_forwarded(const kv_changes& forwarded, store_position previous,
                         duration lapse = duration::zero());

    /// Records that a peer knows of changes up to a position.
    void notify_position(store_position position);

    /// Records that a peer confirmed its state with the store.
    /// @param age time since that confirmation
    void record_peer_confirmation(duration age);

    /// Records when the store served the fleet, as a peer knows.
    void record_peer_span(service_span span);

    /// When the store served the fleet, as this router knows.
    std::optional<service_span> known_service_span() const { return outage_.span(); }

    /// See `store_outage::lapse_window_end`.
    std::optional<time_point> lapse_window_end(time_point now) const { return outage_.lapse_window_end(now); }

    /// Requests a confirmation from the store.
    void request_confirmation();

    /// Requests a confirmation at once, unless one was asked for since a moment.
    void confirm_since(boot_time since);

    /// Position up to which all changes have been delivered to the listener.
    store_position position() const { return position_; }

    /// Whether the store has answered recently.
    bool is_store_reachable(time_point now) const;

private:
    task<bool> list();
    task<bool> watch(std::chrono::milliseconds wait);
    task<void> wait_for_work();
    task<bool> confirm();
    void report_confirmed(boot_time asked_at);
    bool must_relist() const;
    bool has_era_changed() const;
    void refuse_older(store_position received);
    task<void> back_off();
    task<void> pause(duration time);
    void record_success();
    void record_service(time_point served_at);
    void record_failure(const failure& error);
    duration time_until_work(time_point now) const;

    watched_kv_client& store_;
    store_listener listener_;
    asio::steady_timer wake_;
    asio::steady_timer confirm_timer_;
    store_position position_;
    store_position notified_position_; ///< newest that a peer knows
    time_point notified_at_;
    bool is_listed_ = false;
    /// Set after an outage, when a listing is shorter than the history since.
    bool prefers_listing_ = false;
    bool is_watcher_ = true;
    bool confirmation_requested_ = false;
    std::optional<boot_time> confirmation_needed_since_;
    store_outage outage_;
    std::optional<time_point> calls_fail_since_; ///< set while this router's calls fail
    int failures_in_row_ = 0;
    int older_answers_in_row_ = 0; ///< listings that were older than what is known
    /// Era that a response named, while a later listing showed an older one; 0 for none.
    std::uint64_t disproved_era_ = 0;
};

} // namespace citronwick

#endif
