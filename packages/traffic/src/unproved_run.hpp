#ifndef CITRONWICK_TRAFFIC_UNPROVED_RUN_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_UNPROVED_RUN_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/fleet/fleet_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace citronwick {

/// A run of a resumable stream whose connection was closed in order, which does not prove its end.
struct unproved_run {
    std::size_t number = 0;             ///< of the request's runs
    std::uint64_t events = 0;           ///< of the stream that the caller had behind it
    std::string id;                     ///< of its upstream
    std::uint64_t upstream = 0;         ///< hash of the upstream's incarnation
    endpoint peer;                      ///< address of the upstream
    std::optional<fleet_peer> through;  ///< router that relayed it, if any
    bool process_has_responded = false; ///< the incarnation responded after the close, by the same way
};

} // namespace citronwick

#endif
