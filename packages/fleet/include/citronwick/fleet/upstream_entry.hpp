#ifndef CITRONWICK_FLEET_UPSTREAM_ENTRY_HPP_INCLUDED
#define CITRONWICK_FLEET_UPSTREAM_ENTRY_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick {

/// Entry of an upstream in the platform's store, written by the upstream itself.
struct upstream_entry {
    std::string id;
    std::string service;
    endpoint address;
    std::string failure_domain;
    std::string version;           ///< of its software; streams of several do not fit together
    std::uint32_t slots = 1;       ///< requests that it runs concurrently
    std::uint64_t incarnation = 0; ///< changes with each start
    bool leaving = false;          ///< accepts no new requests
    std::uint64_t sequence = 0;    ///< increases with what this incarnation writes
    /// For which it bears few requests only, from the moment at which it wrote this.
    std::chrono::milliseconds cold_time{0};
};

} // namespace citronwick

#endif
