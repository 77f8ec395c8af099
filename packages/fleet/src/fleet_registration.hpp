#ifndef CITRONWICK_FLEET_FLEET_REGISTRATION_HPP_INCLUDED
#define CITRONWICK_FLEET_FLEET_REGISTRATION_HPP_INCLUDED

#include "citronwick/io/watched_kv_client.hpp"
#include "citronwick/wire/messages.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citronwick {

/// What becomes known by following the fleet's own keys.
struct registration_listener {
    std::function<void(const wire::member_record&)> on_router;
    std::function<void(const std::string& key)> on_fleet_key;
    std::function<void(std::uint64_t incarnation)> on_registered; ///< of this router
};

/// Keeps this router's entry in the platform's store, under a lease, and the
/// key with which routers authenticate each other.
///
/// The revision of an entry's last change is the router's incarnation: it
/// grows with each start whatever the time of day does.
class fleet_registration {
public:
    fleet_registration(const asio::any_io_executor& executor, watched_kv_client& store, std::string prefix,
                       wire::member_record self, registration_listener listener);

    /// Registers and keeps the lease alive until the executor ends.
    task<void> run();

    /// Takes in a change of one of the fleet's keys.
    void apply(const kv_change& change);

    /// Notes that everything in the store has been taken in once.
    void set_listed();

private:
    void apply_router_entry(const std::string& key, const kv_change& change);
    task<bool> create_fleet_key();
    task<bool> create_entry();
    task<bool> renew();
    task<void> pause(std::chrono::milliseconds time);
    std::string entry_text() const;
    bool is_registered() const;

    watched_kv_client& store_;
    std::string prefix_;
    wire::member_record self_;
    std::string start_id_; ///< tells this start's entry from an earlier one
    registration_listener listener_;
    asio::steady_timer timer_;
    std::map<std::string, std::int64_t> revisions_; ///< of the fleet's keys
    bool is_listed_ = false;
    bool has_fleet_key_ = false;
    bool entry_is_own_ = false;
    std::int64_t lease_ = 0;
};

} // namespace citronwick

#endif
