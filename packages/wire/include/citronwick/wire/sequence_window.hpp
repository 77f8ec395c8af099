#ifndef CITRONWICK_WIRE_SEQUENCE_WINDOW_HPP_INCLUDED
#define CITRONWICK_WIRE_SEQUENCE_WINDOW_HPP_INCLUDED

#include "citronwick/wire/envelope.hpp"

#include <bitset>
#include <map>

namespace citronwick::wire {

/// Rejects duplicate messages of connections that overtake each other, and those that are much
/// older than the newest one of their sender.
class sequence_window {
public:
    /// Messages of a sender that may overtake each other.
    static constexpr std::uint32_t size = 1'024;

    /// @return whether the message is new
    bool accept(const header& from);

private:
    struct position {
        std::uint64_t incarnation = 0;
        std::uint32_t newest = 0;
        std::bitset<size> seen; ///< by the distance from the newest one
    };
    std::map<std::uint64_t, position> senders_;
};

} // namespace citronwick::wire

#endif
