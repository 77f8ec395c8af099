#ifndef CITRONWICK_POLICY_DEAD_PEER_TIMING_HPP_INCLUDED
#define CITRONWICK_POLICY_DEAD_PEER_TIMING_HPP_INCLUDED

#include "citronwick/core/time.hpp"

namespace citronwick {

/// Socket options by which Linux finds out that a peer is dead, and what it makes of them.
///
/// A sound upstream may be silent for less than 2 s, in which nothing that it is sent arrives and
/// nothing comes back. Such a silence
/// - does not end a quiet connection: keep-alive probes are sent until one after it is answered;
/// - does not end a connection with unacknowledged data, which is sent again after it;
/// - fails connecting, after which the request has certainly not run and is sent elsewhere;
/// - sends a repeatable request whose response has not begun elsewhere, like any slow response
///   (`route_exchange::attempt_deadline`), at the cost of one repeat of the retry budget.
struct dead_peer_timing {
    std::chrono::seconds keepalive_idle;     ///< without a received byte before the first probe, TCP_KEEPIDLE
    std::chrono::seconds keepalive_interval; ///< between probes, TCP_KEEPINTVL
    int keepalive_probes;                    ///< TCP_KEEPCNT, used without an acknowledgement timeout only
    /// TCP_USER_TIMEOUT: time for which data may be unacknowledged. It also decides, whatever the number
    /// of probes, which of them is the last one. 0 for the system's own.
    std::chrono::milliseconds ack_timeout;

    /// Time without a received byte after which a quiet connection is broken.
    duration quiet_limit() const;

    /// Silences shorter than this end no quiet connection, whenever they begin.
    duration longest_quiet_silence() const;

    /// Silences shorter than this end no connection with unacknowledged data. Data is sent again
    /// after the retransmission timeout, which doubles each time, and not when the acknowledgement
    /// timeout expires. Only with an acknowledgement timeout.
    /// @param retransmission_timeout the first one, greater than zero: the round trip and 200 ms or more
    duration longest_unacknowledged_silence(duration retransmission_timeout) const;
};

/// Sound upstreams may be silent for less than this.
inline constexpr std::chrono::seconds longest_sound_silence{2};

/// For connections to upstreams: no silence of less than 2 s ends one whose round trip is up to 30 ms, and
/// a dead peer is noticed 3 to 4 s after its silence began.
inline constexpr dead_peer_timing upstream_dead_peer_timing{.keepalive_idle = std::chrono::seconds{1},
                                                            .keepalive_interval = std::chrono::seconds{1},
                                                            .keepalive_probes = 3,
                                                            .ack_timeout = std::chrono::milliseconds{3'500}};

} // namespace citronwick

#endif
