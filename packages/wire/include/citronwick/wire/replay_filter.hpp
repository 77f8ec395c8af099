#ifndef CITRONWICK_WIRE_REPLAY_FILTER_HPP_INCLUDED
#define CITRONWICK_WIRE_REPLAY_FILTER_HPP_INCLUDED

#include "citronwick/wire/envelope.hpp"

#include <map>

namespace citronwick::wire {

/// Rejects duplicate messages and those that arrive after a newer one.
class replay_filter {
public:
    /// @return whether the message is newer than all others received from its sender
    bool accept(const header& from);

private:
    struct position {
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
        auto operator<=>(const position&) const = default;
    };
    std::map<std::uint64_t, position> newest_;
};

} // namespace citronwick::wire

#endif
