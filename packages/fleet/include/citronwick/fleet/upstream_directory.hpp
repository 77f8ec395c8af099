#ifndef CITRONWICK_FLEET_UPSTREAM_DIRECTORY_HPP_INCLUDED
#define CITRONWICK_FLEET_UPSTREAM_DIRECTORY_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/upstream_entry.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronwick {

/// An entry that was removed or has become unreadable.
struct ended_upstream {
    upstream_entry entry;
    std::string_view reason;
};

/// The upstreams that the platform's store lists.
///
/// Entries lapse while the store is away although their upstreams live. What
/// is missing after an outage is therefore still used for a grace period, and
/// is gone if it has not come back by then. Outside of an outage a missing
/// entry means that the upstream takes no new work, from that moment on.
class upstream_directory {
public:
    /// @param grace after the store's return, for entries that lapsed meanwhile
    explicit upstream_directory(duration grace) : grace_{grace} {}

    /// Takes in an entry.
    /// @param revision of its last change; older ones than known are ignored
    /// @return the incarnation that it replaced, if any
    std::optional<ended_upstream> put(const upstream_entry& entry, std::int64_t revision, time_point now);

    /// Notes that an entry was removed or cannot be read.
    /// @param may_have_lapsed whether the store was away lately
    std::optional<ended_upstream> remove(const std::string& id, std::int64_t revision, bool may_have_lapsed,
                                         std::string_view reason, time_point now);

    /// Notes which entries a complete listing holds; all others are removed.
    std::vector<ended_upstream> retain(const std::set<std::string>& ids, std::int64_t revision,
                                       bool may_have_lapsed, time_point now);

    /// Removes the entries whose grace is over.
    std::vector<ended_upstream> expire(time_point now);

    /// Upstreams that take new work, by service.
    std::map<std::string, std::vector<routed_upstream>, std::less<>> usable() const;

    /// Work of an upstream's incarnation, null where it is not known.
    std::shared_ptr<upstream_load> load_of(std::uint64_t hash) const;

    /// Hashes of all known incarnations.
    std::set<std::uint64_t> hashes() const;

    std::size_t size() const { return entries_.size(); }

private:
    struct tracked_entry {
        routed_upstream upstream;
        std::int64_t revision = 0;
        std::optional<time_point> lapsed_at{}; ///< missing since the store's return
    };

    duration grace_;
    std::map<std::string, tracked_entry> entries_;
    std::map<std::string, std::int64_t> removal_revisions_; ///< revisions of removals
};

} // namespace citronwick

#endif
