#ifndef CITRONWICK_FLEET_TUNNEL_GATE_HPP_INCLUDED
#define CITRONWICK_FLEET_TUNNEL_GATE_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/wire/sequence_window.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick {

struct fleet_directory;
struct routing_view;

/// Another router's request for a connection to an upstream.
struct accepted_tunnel {
    endpoint upstream;
    std::chrono::milliseconds timeout{0}; ///< of the connect, as the other router asks
    std::uint64_t nonce = 0;              ///< echoed in the reply
};

/// Decides which requests for tunnels a router accepts.
class tunnel_gate {
public:
    /// Opens a request. Fails unless it is authentic and new, comes from a router that is heard, also
    /// one that is leaving, is meant for this incarnation of this one, and names an upstream.
    /// @param peer address of the sender, for errors
    io_result<accepted_tunnel> open(const std::string& sealed, const std::string& peer,
                                    const fleet_directory& known, const routing_view& view);

private:
    wire::sequence_window window_;
};

} // namespace citronwick

#endif
