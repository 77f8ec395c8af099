#ifndef CITRONWICK_FLEET_UPSTREAM_DIRECTORY_HPP_INCLUDED
#define CITRONWICK_FLEET_UPSTREAM_DIRECTORY_HPP_INCLUDED

#include "citronwick/core/store_position.hpp"
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

/// An incarnation whose entry was removed, replaced or became unreadable.
struct ended_upstream {
    upstream_entry entry;
    std::string_view reason;
};

/// The upstreams listed in the platform's store.
///
/// During a store outage leases expire although the upstreams are still
/// running. Entries that are missing after an outage therefore stay usable until
/// the end of the outage's lapse window, and are removed if they have not
/// reappeared by then. At other times, an upstream whose entry is missing gets no
/// new requests from that moment on.
///
/// A store that comes back from a copy lists entries as they were when the copy was
/// taken. What is known to have been written later counts: an incarnation that had
/// left, or was leaving, does not accept requests again.
class upstream_directory {
public:
    /// Adds or updates an entry.
    /// @param position of its last change; entries older than the known one are ignored
    /// @param now its cold time runs from now on, unless the entry is known already
    /// @return the incarnation that it replaced, if any
    std::optional<ended_upstream> put(const upstream_entry& entry, store_position position,
                                      time_point now = {});

    /// Removes an entry that was deleted or cannot be decoded.
    /// @param usable_until end of the lapse window, none outside of one
    std::optional<ended_upstream> remove(const std::string& id, store_position position,
                                         std::optional<time_point> usable_until, std::string_view reason);

    /// Removes all entries that a complete listing lacks.
    /// @param usable_until end of the lapse window, none outside of one
    std::vector<ended_upstream> retain(const std::set<std::string>& ids, store_position position,
                                       std::optional<time_point> usable_until);

    /// Records that an incarnation said itself that it is leaving. Holds whatever its
    /// entry says, also if that lapses and comes back.
    /// @return whether that was not known before
    bool mark_leaving(std::uint64_t hash);

    /// Ends the lapse window of all missing entries.
    void close_lapse_window(time_point now);

    /// Removes the missing entries whose lapse window has ended.
    std::vector<ended_upstream> expire(time_point now);

    /// Upstreams that accept new requests, by service.
    std::map<std::string, std::vector<routed_upstream>, std::less<>> usable() const;

    /// Upstreams that are listed but accept no new requests, by service.
    std::map<std::string, std::vector<routed_upstream>, std::less<>> leaving() const;

    /// Load of an upstream's incarnation, null if it is unknown.
    std::shared_ptr<upstream_load> load_of(std::uint64_t hash) const;

    /// Entry of an incarnation, null if it is unknown.
    const upstream_entry* entry_of(std::uint64_t hash) const;

    /// Hashes of all known incarnations.
    std::set<std::uint64_t> hashes() const;

    std::size_t size() const { return entries_.size(); }

private:
    std::map<std::string, std::vector<routed_upstream>, std::less<>> by_service(bool leaving) const;

    struct tracked_entry {
        routed_upstream upstream;
        store_position position{};
        std::optional<time_point> usable_until{}; ///< set if it is missing and may have lapsed
    };

    std::map<std::string, tracked_entry> entries_;
    /// Removal of an entry, with the incarnation and sequence number that it had.
    struct removal {
        store_position position{};
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    void apply_mark(routed_upstream& upstream) const;
    bool is_older_than_removal(const upstream_entry& entry, store_position position) const;

    std::map<std::string, removal> removals_; ///< by identifier
    std::set<std::uint64_t> said_leaving_;    ///< hashes of incarnations
};

} // namespace citronwick

#endif
