#ifndef CITRONWICK_POLICY_KEY_FRESHNESS_HPP_INCLUDED
#define CITRONWICK_POLICY_KEY_FRESHNESS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <optional>

namespace citronwick {

/// Tracks when a router's configuration, and with it the team keys, was last
/// confirmed to be current.
///
/// Times come from a clock that includes time in suspend, so that a router does
/// not trust a confirmation from before its VM was suspended.
class key_freshness {
public:
    /// @param limit age of the newest confirmation at which keys are no longer trusted
    explicit key_freshness(duration limit) : limit_{limit} {}

    /// Records that the store confirmed the router's revision.
    /// @param requested_at when the router sent the request to the store
    void confirm(boot_time requested_at);

    /// Records a peer's response to a request from this router.
    /// @param requested_at when this router sent the request
    /// @param age age of the peer's own confirmation when it responded
    /// @param revision newest revision known to the peer
    /// @param own_revision newest revision that this router has applied
    /// @return whether the response confirms the keys. If the peer knows of a newer
    ///         revision than this router has applied, it does so only once `advance`
    ///         has reached that revision.
    bool confirm_by_peer(boot_time requested_at, duration age, std::int64_t revision,
                         std::int64_t own_revision);

    /// Records that this router has applied the changes up to a revision.
    /// @return whether that confirms the keys, by an earlier response of a peer
    bool advance(std::int64_t own_revision);

    /// Age of the newest confirmation; empty if there has been none.
    std::optional<duration> age(boot_time now) const;

    /// Whether team keys may be trusted.
    bool is_fresh(boot_time now) const;

    duration limit() const { return limit_; }
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

private:
    /// Confirmation of a revision that this router has not applied yet.
    struct pending_confirmation {
        std::int64_t revision = 0;
        boot_time confirmed_at{};
    };

    duration limit_;
    std::optional<boot_time> confirmed_at_;
    std::optional<pending_confirmation> pending_;
};

} // namespace citronwick

#endif
