#ifndef CITRONWICK_FLEET_STORE_FOLLOWER_HPP_INCLUDED
#define CITRONWICK_FLEET_STORE_FOLLOWER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/watched_kv_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace citronwick {

/// What a follower tells of the store.
struct store_listener {
    /// A complete listing. Entries may have lapsed where the store was away lately.
    std::function<void(const kv_listing&, bool may_have_lapsed)> on_listing;
    /// @param previous revision up to which everything had been passed on before
    std::function<void(const kv_changes&, std::int64_t previous, bool may_have_lapsed)> on_changes;
    /// Everything up to the last listing or change was in force at that moment.
    std::function<void(boot_time requested_at)> on_confirmed;
};

/// Keeps up with all keys of the platform's store.
///
/// A router on duty keeps a watch waiting, and asks at short intervals whether
/// the store's revision is the one that it has followed: a watch that hears
/// nothing proves nothing. The others read when a peer tells of a change, or
/// when nothing has confirmed what they hold for a while.
class store_follower {
public:
    store_follower(const asio::any_io_executor& executor, watched_kv_client& store, store_listener listener);

    /// Follows the store until the executor ends.
    task<void> run();

    /// Confirms what is followed until the executor ends.
    task<void> run_confirmations();

    /// Whether this router keeps a watch waiting.
    void set_watcher(bool is_watcher);

    /// Takes in changes that a peer passes on, where they follow on what is known.
    /// @param previous revision of the change before the first one
    /// @return whether they were new
    bool apply_forwarded(const kv_changes& forwarded, std::int64_t previous);

    /// Notes that a peer knows of changes up to a revision.
    void notify_revision(std::int64_t revision);

    /// Asks for a confirmation, as none has come for too long.
    void request_confirmation();

    /// Revision up to which all changes have been passed on.
    std::int64_t revision() const { return revision_; }

    /// Whether calls were answered lately.
    bool is_store_reachable(time_point now) const;

private:
    task<bool> list();
    task<bool> watch(std::chrono::milliseconds wait);
    task<void> wait_for_work();
    task<bool> confirm();
    bool must_relist() const;
    task<void> back_off();
    task<void> pause(duration time);
    void record_success();
    void record_failure(const failure& error);
    bool may_have_lapsed(time_point now) const;
    duration time_to_work(time_point now) const;

    watched_kv_client& store_;
    store_listener listener_;
    asio::steady_timer wake_;
    std::int64_t revision_ = 0;
    std::int64_t notified_revision_ = 0;
    time_point notified_at_;
    bool is_listed_ = false;
    /// After an outage a listing is shorter than the history since.
    bool prefers_listing_ = false;
    bool is_watcher_ = true;
    bool confirmation_requested_ = false;
    std::optional<time_point> outage_since_;
    std::optional<time_point> recovered_at_;
    int failures_in_row_ = 0;
};

} // namespace citronwick

#endif
