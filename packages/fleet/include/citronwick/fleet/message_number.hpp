#ifndef CITRONWICK_FLEET_MESSAGE_NUMBER_HPP_INCLUDED
#define CITRONWICK_FLEET_MESSAGE_NUMBER_HPP_INCLUDED

#include <cstdint>

namespace citronwick {

/// Number of a message that a router distributes through others. Numbers begin anew
/// when the router restarts, so its incarnation orders first.
struct message_number {
    std::uint32_t incarnation = 0; ///< as `shorten_sequence_number` gives it
    std::uint32_t number = 0;

    friend bool operator==(const message_number&, const message_number&) = default;

    bool is_newer_than(const message_number& other) const {
        // Short sequence numbers wrap around.
        const auto restarts = static_cast<std::int32_t>(incarnation - other.incarnation);
        return restarts == 0 ? number > other.number : restarts > 0;
    }
};

} // namespace citronwick

#endif
