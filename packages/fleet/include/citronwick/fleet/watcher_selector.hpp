#ifndef CITRONWICK_FLEET_WATCHER_SELECTOR_HPP_INCLUDED
#define CITRONWICK_FLEET_WATCHER_SELECTOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace citronwick {

/// What a message reveals about its sender's ability to watch the store.
struct watcher_report {
    std::optional<duration> answer_age;  ///< age of the confirmation in its answer to a query
    std::optional<bool> store_reachable; ///< as stated by the sender
};

/// Selects the router of a failure domain that watches the store for the others.
///
/// This is the highest-ranked eligible router in an order that all routers
/// compute alike. A router that reports the store as unreachable, or that gives
/// no fresh answers, is excluded until it reports the store as reachable. Each
/// router decides by the messages that it receives itself.
class watcher_selector {
public:
    explicit watcher_selector(std::uint64_t self) : self_{self} {}

    /// Key of the watcher's role in rendezvous hashing.
    static std::uint64_t role();

    /// Returns the watcher. If no router reaches the store, all of them are
    /// eligible, so that only one keeps querying it.
    /// @param others the other routers of the failure domain
    /// @param store_reachable whether this router reaches the store
    std::uint64_t select(const std::vector<std::uint64_t>& others, bool store_reachable) const;

    /// Records that a query is about to be sent to the watcher.
    /// @return false if too many queries in a row have gone without a fresh
    ///         answer; the watcher is then excluded
    bool record_query(std::uint64_t watcher);

    void record_report(std::uint64_t sender, const watcher_report& report);

private:
    void exclude(std::uint64_t router, std::string_view reason);

    std::uint64_t self_;
    std::uint64_t queried_ = 0;
    int unanswered_ = 0; ///< consecutive queries to that router without a fresh answer
    std::set<std::uint64_t> excluded_;
};

} // namespace citronwick

#endif
