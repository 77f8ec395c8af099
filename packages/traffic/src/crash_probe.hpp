#ifndef CITRONWICK_TRAFFIC_CRASH_PROBE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CRASH_PROBE_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <boost/system/error_code.hpp>
#include <chrono>
#include <set>

namespace citronwick {

class routing_plane;
struct routed_upstream;

/// Finds out whether an upstream whose connection broke has crashed.
///
/// Its entry in the store tells so only once its lease has expired. An upstream
/// whose process has ended refuses new connections at once, whereas one that is
/// cut off does not answer, and one that only closed a connection accepts another.
class crash_probe {
public:
    explicit crash_probe(routing_plane& plane) : plane_{plane} {}

    /// Starts probing an upstream unless that is under way, and reports to the
    /// control thread if it refuses connections.
    void start(const asio::any_io_executor& executor, const routed_upstream& upstream);

    /// Connects to an upstream that has just closed a connection. Waits before, as a process that
    /// ends closes its listener after its connections.
    /// @return why no connection was accepted; refused if the process has ended
    static task<boost::system::error_code> connect_after_pause(endpoint address);

    /// Longest time that `connect_after_pause` takes.
    static constexpr std::chrono::milliseconds longest_time{400};

    /// Whether the process of an upstream that has just closed a connection outlives it: it accepts
    /// another connection and does not reset it within a moment. A process that ends after this
    /// moment, or one that takes over the address, is not told from one that lives on.
    /// @param timeout for each connection
    static task<bool> lives_on(endpoint address, std::chrono::milliseconds timeout);

private:
    task<void> run(endpoint address, std::uint64_t upstream);

    routing_plane& plane_;
    std::set<std::uint64_t> in_progress_; ///< hashes of the upstreams
};

} // namespace citronwick

#endif
