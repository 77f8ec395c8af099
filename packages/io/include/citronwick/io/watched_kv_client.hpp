#ifndef CITRONWICK_IO_WATCHED_KV_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_WATCHED_KV_CLIENT_HPP_INCLUDED

#include "citronwick/io/kv_client.hpp"

#include <vector>

namespace citronwick {

/// Key with its value and the revision of its last change.
struct kv_item {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
};

/// Keys below a prefix. Several pages are no snapshot: changes after
/// `revision` may be in it or not.
struct kv_listing {
    std::vector<kv_item> items;
    std::int64_t revision = 0; ///< of the store before the first page was read
};

/// One change of a key.
struct kv_change {
    std::string key;
    std::optional<std::string> value; ///< none where the key was removed
    std::int64_t revision = 0;
};

/// Changes after a revision, in order.
struct kv_changes {
    std::vector<kv_change> changes;
    std::int64_t revision = 0; ///< to continue from
    bool history_lost = false; ///< the changes are not kept any more; list again
};

/// Key-value service that lists and watches keys by prefix and renews leases.
class watched_kv_client : public kv_client {
public:
    virtual task<io_result<kv_listing>> list(std::string prefix) = 0;

    /// Newest revision of the store; never older than when the call was sent.
    virtual task<io_result<std::int64_t>> current_revision() = 0;

    /// Waits for changes below a prefix.
    /// @param wait longest time for which the service may hold the call
    virtual task<io_result<kv_changes>> wait_for_changes(std::string prefix, std::int64_t after,
                                                         std::chrono::milliseconds wait) = 0;

    /// @return false where the lease has ended
    virtual task<io_result<bool>> renew_lease(std::int64_t lease) = 0;
};

} // namespace citronwick

#endif
