#ifndef CITRONWICK_POLICY_KEY_FRESHNESS_HPP_INCLUDED
#define CITRONWICK_POLICY_KEY_FRESHNESS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <optional>

namespace citronwick {

/// How long the configuration that a router holds is known to be the newest.
///
/// Times are on a clock that counts suspended time, so that a router which
/// was frozen does not trust what it confirmed before.
class key_freshness {
public:
    /// @param limit age at which keys are no longer trusted
    explicit key_freshness(duration limit) : limit_{limit} {}

    /// Notes that the store confirmed a revision.
    /// @param asked_at when the call that was answered was sent
    void confirm(boot_time asked_at);

    /// Notes a peer's answer to a question of this router.
    /// @param asked_at when this router sent its question
    /// @param age of the peer's own confirmation when it answered
    /// @param revision newest change that the peer knows of
    /// @param own_revision newest change that this router has applied
    /// @return whether the answer counts: a peer that knows of changes which
    ///         this router lacks confirms nothing
    bool confirm_by_peer(boot_time asked_at, duration age, std::int64_t revision, std::int64_t own_revision);

    /// Age of the newest confirmation, none before the first one.
    std::optional<duration> age(boot_time now) const;

    /// Whether team keys may be trusted.
    bool is_fresh(boot_time now) const;

    duration limit() const { return limit_; }
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

private:
    duration limit_;
    std::optional<boot_time> confirmed_at_;
};

} // namespace citronwick

#endif
