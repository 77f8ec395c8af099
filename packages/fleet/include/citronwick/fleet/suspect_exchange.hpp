#ifndef CITRONWICK_FLEET_SUSPECT_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_SUSPECT_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/coordinator_network.hpp"
#include "citronwick/fleet/message_number.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <map>

namespace citronwick {

class suspect_registry;

/// Shares the crashes of upstreams, and what refutes them, between the routers.
///
/// A router reports at once what it observes: to all routers of a small fleet, in a
/// large one to the coordinators of all failure domains, which distribute it in their
/// domain. Messages get lost, routers start or are cut off; so each router also sends
/// its coordinator a digest with its queries, and the coordinators send theirs to each
/// other. Whoever finds that a digest differs sends what it knows. Used by the control
/// thread only.
class suspect_exchange {
public:
    suspect_exchange(std::uint64_t self, suspect_registry& suspects, coordinator_network network);

    /// Sets this router's incarnation, which its lists name.
    /// @param incarnation in 32 bits, see `shorten_sequence_number`
    void set_incarnation(std::uint32_t incarnation) { incarnation_ = incarnation; }

    /// Adds this router's digest to a message to its coordinator.
    void add_digest(wire::gossip& message, time_point now);

    void handle_message(std::uint64_t sender, const wire::gossip& message, time_point now);

    /// Sends what is due. To be called periodically.
    void tick(time_point now);

private:
    void answer_digest(std::uint64_t sender, const wire::gossip& message, time_point now);
    void relay_list(const wire::gossip& message, time_point now);
    void distribute(std::vector<wire::suspect_entry> entries, time_point now);

    std::uint64_t self_;
    std::uint32_t incarnation_ = 0;
    suspect_registry& suspects_;
    coordinator_network network_;
    std::uint32_t list_number_ = 0;
    std::map<std::uint64_t, message_number> newest_list_; ///< by coordinator
    time_point digest_sent_at_;                           ///< to the other coordinators
};

} // namespace citronwick

#endif
