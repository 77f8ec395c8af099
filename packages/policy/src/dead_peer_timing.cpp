#include "citronwick/policy/dead_peer_timing.hpp"

#include <algorithm>

namespace citronwick {

using namespace std::chrono_literals;

duration dead_peer_timing::quiet_limit() const {
    if (ack_timeout == 0ms) {
        return keepalive_idle + (keepalive_probes * keepalive_interval);
    }
    // Checked when a probe is due, from the second one on.
    const auto intervals = (ack_timeout - keepalive_idle + keepalive_interval - 1ms) / keepalive_interval;
    return keepalive_idle + (keepalive_interval * std::max<std::int64_t>(intervals, 1));
}

duration dead_peer_timing::longest_quiet_silence() const {
    // It may begin just before the first probe, and must end before the last one, an interval before the end.
    return quiet_limit() - keepalive_interval - keepalive_idle;
}

duration dead_peer_timing::longest_unacknowledged_silence(duration retransmission_timeout) const {
    duration last_sent{0};
    duration wait = retransmission_timeout;
    while (last_sent + wait < ack_timeout) {
        last_sent += wait;
        wait *= 2;
    }
    return last_sent;
}

} // namespace citronwick
