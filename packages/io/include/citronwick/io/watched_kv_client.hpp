#ifndef CITRONWICK_IO_WATCHED_KV_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_WATCHED_KV_CLIENT_HPP_INCLUDED

#include "citronwick/io/kv_client.hpp"

#include <vector>

namespace citronwick {

/// Key with its value and the revision at which it was last modified.
struct kv_item {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
};

/// Keys with a common prefix. A listing of several pages is not a snapshot: it may or may not
/// include changes made after `revision`.
struct kv_listing {
    std::vector<kv_item> items;
    std::int64_t revision = 0; ///< store revision before the first page was read
};

/// One change of a key.
struct kv_change {
    std::string key;
    std::optional<std::string> value; ///< none if the key was removed
    std::int64_t revision = 0;
};

/// Changes after a revision, in order of revision.
struct kv_changes {
    std::vector<kv_change> changes;
    std::int64_t revision = 0; ///< revision to continue from
    bool history_lost = false; ///< the store no longer keeps these changes; list the keys again
};

/// Client that also lists and watches keys by prefix and renews leases.
class watched_kv_client : public kv_client {
public:
    virtual task<io_result<kv_listing>> list(std::string prefix) = 0;

    /// Current revision of the store, no older than at the time of the call.
    virtual task<io_result<std::int64_t>> current_revision() = 0;

    /// Waits for changes of keys with a prefix (long poll).
    /// @param wait longest time for which the service may hold the request
    virtual task<io_result<kv_changes>> wait_for_changes(std::string prefix, std::int64_t after,
                                                         std::chrono::milliseconds wait) = 0;

    /// @return false if the lease has expired
    virtual task<io_result<bool>> renew_lease(std::int64_t lease) = 0;
};

} // namespace citronwick

#endif
