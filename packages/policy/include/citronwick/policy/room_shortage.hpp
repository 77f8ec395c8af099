#ifndef CITRONWICK_POLICY_ROOM_SHORTAGE_HPP_INCLUDED
#define CITRONWICK_POLICY_ROOM_SHORTAGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <compare>
#include <cstdint>

namespace citronwick {

/// Time since the last refusal for want of room, by the upstream or in a router's own queue, after which
/// an upstream counts as having room again.
constexpr duration shortage_lifetime = std::chrono::seconds{3};

/// Requests that all routers together may have at an upstream that is short of room: those that it
/// runs and as many that wait there, so that it has work while responses and requests travel. The
/// others wait at the routers, which know their priorities and refuse what can't be served in time.
constexpr std::uint32_t places_while_short(std::uint32_t slots) {
    constexpr std::uint32_t places_per_slot = 3;
    return places_per_slot * slots;
}

/// Order in which requests get the places of a router; the lowest comes first.
///
/// More urgent requests come first. Among equally urgent ones, those of teams and routes within their
/// fair share precede the others, which get what these leave. Last come those whose target latency has
/// passed: while there is more work than room, serving the others first lets most responses be in time.
struct place_order {
    std::uint32_t priority = 0; ///< 0 is the most urgent
    bool is_beyond_share = false;
    bool is_late = false;

    auto operator<=>(const place_order&) const = default;
};

} // namespace citronwick

#endif
