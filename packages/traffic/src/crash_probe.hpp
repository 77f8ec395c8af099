#ifndef CITRONWICK_TRAFFIC_CRASH_PROBE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CRASH_PROBE_HPP_INCLUDED

#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/io/task.hpp"

#include <boost/system/error_code.hpp>
#include <chrono>
#include <optional>
#include <set>

namespace citronwick {

class routing_plane;
class tunnel_opener;
struct routed_upstream;

/// Finds out whether an upstream whose connection broke has crashed.
///
/// Its entry in the store tells so only once its lease has expired. An upstream
/// whose process has ended refuses new connections at once, whereas one that is
/// cut off does not answer, and one that only closed a connection accepts another.
class crash_probe {
public:
    crash_probe(routing_plane& plane, tunnel_opener& tunnels) : plane_{plane}, tunnels_{tunnels} {}

    /// Starts probing an upstream unless that is under way, and reports to the
    /// control thread if it refuses connections.
    void start(const asio::any_io_executor& executor, const routed_upstream& upstream);

    /// Connects to an upstream that has just closed a connection. Waits before, as a process that
    /// ends closes its listener after its connections. If this router is refused or cut from the
    /// upstreams, others are asked.
    /// A connect that is not answered says nothing of the process, so it is repeated as long as sound
    /// upstreams may be silent. A connection that is closed in order right away was not accepted by
    /// the process.
    /// @param timeout for all of it, `shortest_time` for a single round of connects
    /// @param tunnels way through other routers, if there may be one
    /// @param through router that relayed the connection, if it was not direct; it must live on, too
    /// @return why no connection was accepted, or how it ended; refused if the process has ended, as
    ///         others report or as this router alone sees it if there are no others
    static task<boost::system::error_code> connect_after_pause(endpoint address,
                                                               std::chrono::milliseconds timeout,
                                                               tunnel_opener* tunnels,
                                                               std::optional<fleet_peer> through);

    /// Time that `connect_after_pause` needs.
    static constexpr std::chrono::milliseconds shortest_time{400};

    /// Whether the process of an upstream that has just closed a connection outlives it: it accepts
    /// another connection, and this one is neither reset nor closed within a moment. A process that ends
    /// after this moment, or one that takes over the address, is not told from one that lives on. Connects
    /// that are not answered are repeated as above.
    /// @param timeout for all of it
    /// @param tunnels, through as above
    static task<bool> lives_on(endpoint address, std::chrono::milliseconds timeout, tunnel_opener* tunnels,
                               std::optional<fleet_peer> through);

private:
    task<void> run(endpoint address, std::uint64_t upstream);

    static task<boost::system::error_code> ask_peers(endpoint address, tunnel_opener& tunnels,
                                                     std::optional<fleet_peer> through,
                                                     std::chrono::milliseconds timeout);
    static task<boost::system::error_code> connect_directly_or_through(endpoint address,
                                                                       tunnel_opener* tunnels,
                                                                       std::optional<fleet_peer> through,
                                                                       std::chrono::milliseconds timeout);
    /// @return empty if nothing answered
    static task<std::optional<bool>> find_whether_it_lives(endpoint address,
                                                           std::chrono::milliseconds timeout,
                                                           tunnel_opener* tunnels,
                                                           std::optional<fleet_peer> through);
    static task<std::optional<bool>> find_directly_whether_it_lives(endpoint address,
                                                                    std::chrono::milliseconds timeout);

    routing_plane& plane_;
    tunnel_opener& tunnels_;
    std::set<std::uint64_t> in_progress_; ///< hashes of the upstreams
};

} // namespace citronwick

#endif
