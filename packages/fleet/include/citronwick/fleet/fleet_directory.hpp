#ifndef CITRONWICK_FLEET_FLEET_DIRECTORY_HPP_INCLUDED
#define CITRONWICK_FLEET_FLEET_DIRECTORY_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace citronwick {

/// Another router.
struct fleet_peer {
    std::uint64_t hash = 0; ///< of its VM's name
    std::uint64_t incarnation = 0;
    endpoint address; ///< of the fleet channel, both UDP and TCP

    bool operator==(const fleet_peer&) const = default;
};

/// Immutable snapshot of what a router needs to connect to the others.
struct fleet_directory {
    std::string key; ///< of the fleet, empty before it is known
    std::uint64_t self = 0;
    std::uint64_t incarnation = 0;     ///< 0 before this router is registered
    std::vector<fleet_peer> live;      ///< without this router
    std::vector<fleet_peer> leaving{}; ///< that still run; they may ask for tunnels and relay no new ones

    bool operator==(const fleet_directory&) const = default;
};

} // namespace citronwick

#endif
