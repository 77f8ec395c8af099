#ifndef CITRONWICK_FLEET_WATCH_ROSTER_HPP_INCLUDED
#define CITRONWICK_FLEET_WATCH_ROSTER_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace citronwick {

/// What a message shows of its sender's part in watching the store.
struct watch_report {
    std::optional<duration> answer_age; ///< of the confirmation that answers a question
    std::optional<bool> has_store;      ///< what the sender says of itself
};

/// Which router of a failure domain watches the store for the others.
///
/// It is the first in an order that all compute alike, of those that can: a
/// router that says that the store does not answer it, or that gives no fresh
/// answers, is passed over until it says otherwise. Each router judges by what
/// it hears itself.
class watch_roster {
public:
    explicit watch_roster(std::uint64_t self) : self_{self} {}

    /// Names the duty in the order of rendezvous hashing.
    static std::uint64_t duty();

    /// The router that watches. Where the store answers none, all stay in the
    /// order, so that not every router keeps asking.
    /// @param others routers of the failure domain without this one
    /// @param has_store whether the store answers this router
    std::uint64_t watcher(const std::vector<std::uint64_t>& others, bool has_store) const;

    /// Notes that the watcher is about to be asked.
    /// @return false where it has left too many questions without a fresh
    ///         answer; it is passed over then
    bool note_question(std::uint64_t watcher);

    void hear(std::uint64_t sender, const watch_report& report);

private:
    void pass_over(std::uint64_t router, std::string_view reason);

    std::uint64_t self_;
    std::uint64_t asked_ = 0;
    int unanswered_ = 0; ///< questions in a row to that router
    std::set<std::uint64_t> passed_over_;
};

} // namespace citronwick

#endif
