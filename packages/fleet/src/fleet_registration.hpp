#ifndef CITRONWICK_FLEET_FLEET_REGISTRATION_HPP_INCLUDED
#define CITRONWICK_FLEET_FLEET_REGISTRATION_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/watched_kv_client.hpp"
#include "citronwick/wire/messages.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citronwick {

/// Callbacks for changes of the fleet's own keys.
struct registration_listener {
    std::function<void(const wire::member_record&)> on_router;
    std::function<void(const std::string& vm)> on_router_removed;
    std::function<void(const std::string& key)> on_fleet_key;
    std::function<void(std::uint64_t incarnation)> on_registered; ///< called for this router
};

/// Maintains this router's entry in the platform's store, under a lease, and
/// creates the key with which routers authenticate each other.
///
/// The revision of an entry's last change serves as the router's incarnation: it
/// increases with each start, independent of the system clock.
class fleet_registration {
public:
    fleet_registration(const asio::any_io_executor& executor, watched_kv_client& store, std::string prefix,
                       wire::member_record self, registration_listener listener);

    /// Registers the router and renews the lease until the executor stops.
    task<void> run();

    /// Applies a change of one of the fleet's keys; ignores other keys.
    void apply(const kv_change& change);

    /// Records that the changes that follow are a complete listing of the store.
    void begin_listing(store_position position);

    /// Records that a complete listing has been applied. Of the fleet's keys, those
    /// that it lacks are written again.
    void end_listing();

private:
    void apply_router_entry(const std::string& key, const kv_change& change);
    task<bool> create_fleet_key();
    task<bool> create_entry();
    task<bool> renew();
    task<void> pause(duration time);
    std::string entry_text() const;
    std::string router_key() const;
    bool is_registered() const;

    watched_kv_client& store_;
    std::string prefix_;
    wire::member_record self_;
    std::string start_id_; ///< distinguishes this start's entry from earlier ones
    registration_listener listener_;
    asio::steady_timer timer_;
    std::map<std::string, std::int64_t> revisions_; ///< by key without prefix, 0 if removed
    std::uint64_t era_ = 0;                         ///< to which these revisions belong
    std::string fleet_key_;                         ///< newest known value, empty if none
    bool is_listed_ = false;
    bool has_fleet_key_ = false;
    bool must_check_ = false; ///< whether to renew the lease without waiting
    bool entry_is_own_ = false;
    std::int64_t lease_ = 0;
    int failed_renewals_ = 0; ///< in a row
};

} // namespace citronwick

#endif
