#ifndef CITRONWICK_FLEET_UPSTREAM_ENTRY_HPP_INCLUDED
#define CITRONWICK_FLEET_UPSTREAM_ENTRY_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <cstdint>
#include <string>

namespace citronwick {

/// What an upstream says of itself in the platform's store.
struct upstream_entry {
    std::string id;
    std::string service;
    endpoint address;
    std::string failure_domain;
    std::uint32_t slots = 1;       ///< requests that it runs at once
    std::uint64_t incarnation = 0; ///< changes with each start
    bool leaving = false;          ///< takes no new work
};

} // namespace citronwick

#endif
