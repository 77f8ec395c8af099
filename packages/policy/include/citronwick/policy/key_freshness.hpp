#ifndef CITRONWICK_POLICY_KEY_FRESHNESS_HPP_INCLUDED
#define CITRONWICK_POLICY_KEY_FRESHNESS_HPP_INCLUDED

#include "citronwick/core/store_position.hpp"
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

    /// Records that the store confirmed the router's position.
    /// @param requested_at when the router sent the request to the store
    void confirm(boot_time requested_at);

    /// Records a peer's response to a request from this router.
    /// @param requested_at when this router sent the request
    /// @param age age of the peer's own confirmation when it responded
    /// @param position newest position known to the peer
    /// @param own_position newest position that this router has applied
    /// @return whether the response confirms the keys. If the peer knows of a newer
    ///         position than this router has applied, it does so only once `advance`
    ///         has reached that position.
    bool confirm_by_peer(boot_time requested_at, duration age, store_position position,
                         store_position own_position);

    /// Records that this router has applied the changes up to a position.
    /// @return whether that confirms the keys, by an earlier response of a peer
    bool advance(store_position own_position);

    /// Age of the newest confirmation; empty if there has been none.
    std::optional<duration> age(boot_time now) const;

    /// Whether team keys may be trusted.
    bool is_fresh(boot_time now) const;

    duration limit() const { return limit_; }
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

private:
    /// Confirmation of a position that this router has not applied yet.
    struct pending_confirmation {
        store_position position{};
        boot_time confirmed_at{};
    };

    duration limit_;
    std::optional<boot_time> confirmed_at_;
    std::optional<pending_confirmation> pending_;
};

} // namespace citronwick

#endif
