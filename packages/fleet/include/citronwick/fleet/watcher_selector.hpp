#ifndef CITRONWICK_FLEET_WATCHER_SELECTOR_HPP_INCLUDED
#define CITRONWICK_FLEET_WATCHER_SELECTOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace citronwick {

/// What a message shows of its sender's part in watching the store.
struct watcher_report {
    std::optional<duration> answer_age;  ///< of the confirmation that answers a question
    std::optional<bool> store_reachable; ///< what the sender says of itself
};

/// Which router of a failure domain watches the store for the others.
///
/// It is the first in an order that all compute alike, of those that can: a
/// router that says that the store does not answer it, or that gives no fresh
/// answers, is passed over until it says otherwise. Each router judges by what
/// it hears itself.
class watcher_selector {
public:
    explicit watcher_selector(std::uint64_t self) : self_{self} {}

    /// Names the duty in the order of rendezvous hashing.
    static std::uint64_t role();

    /// The router that watches. Where the store answers none, all stay in the
    /// order, so that not every router keeps asking.
    /// @param others routers of the failure domain without this one
    /// @param has_store whether the store answers this router
    std::uint64_t select(const std::vector<std::uint64_t>& others, bool store_reachable) const;

    /// Notes that the watcher is about to be asked.
    /// @return false where it has left too many questions without a fresh
    ///         answer; it is passed over then
    bool record_query(std::uint64_t watcher);

    void record_report(std::uint64_t sender, const watcher_report& report);

private:
    void exclude(std::uint64_t router, std::string_view reason);

    std::uint64_t self_;
    std::uint64_t queried_ = 0;
    int unanswered_ = 0; ///< questions in a row to that router
    std::set<std::uint64_t> excluded_;
};

} // namespace citronwick

#endif
