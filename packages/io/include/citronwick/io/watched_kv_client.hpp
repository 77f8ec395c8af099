#ifndef CITRONWICK_IO_WATCHED_KV_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_WATCHED_KV_CLIENT_HPP_INCLUDED

#include "citronwick/core/store_position.hpp"
#include "citronwick/io/kv_client.hpp"

#include <vector>

namespace citronwick {

/// Key with its value and the position at which it was last modified. In a store that
/// came back from a copy, the era is that of the listing, not that of the change.
struct kv_item {
    std::string key;
    std::string value;
    store_position position{};
};

/// Keys with a common prefix. A listing of several pages is not a snapshot: it may or may not
/// include changes made after `position`.
struct kv_listing {
    std::vector<kv_item> items;
    store_position position{};         ///< of the store before the first page was read
    std::size_t items_without_key = 0; ///< which are left out
};

/// One change of a key.
struct kv_change {
    std::string key;
    std::optional<std::string> value; ///< none if the key was removed
    store_position position{};
};

/// Changes after a position, in order.
struct kv_changes {
    std::vector<kv_change> changes;
    store_position position{}; ///< position to continue from; of another era, if the store
                               ///< has come back from a copy
    bool history_lost = false; ///< the store no longer keeps these changes; list the keys again
};

/// Client that also lists and watches keys by prefix and renews leases.
class watched_kv_client : public kv_client {
public:
    virtual task<io_result<kv_listing>> list(std::string prefix) = 0;

    /// Current position of the store, no older than at the time of the call.
    virtual task<io_result<store_position>> current_position() = 0;

    /// Newest era that any response has named, 0 if none has.
    virtual std::uint64_t newest_era() const = 0;

    /// Waits for changes of keys with a prefix (long poll).
    /// @param wait longest time for which the service may hold the request
    virtual task<io_result<kv_changes>> wait_for_changes(std::string prefix, std::int64_t after,
                                                         std::chrono::milliseconds wait) = 0;

    /// @return false if the lease has expired
    virtual task<io_result<bool>> renew_lease(std::int64_t lease) = 0;
};

} // namespace citronwick

#endif
