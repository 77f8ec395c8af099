#ifndef CITRONWICK_TRAFFIC_EARLY_CONNECTION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EARLY_CONNECTION_HPP_INCLUDED

#include "citronwick/traffic/upstream_connection.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace citronwick {

/// Connection for the next attempt at a request, opened while the response to the present one is still
/// waited for.
class early_connection {
public:
    /// @param upstream hash of the upstream
    early_connection(std::uint64_t upstream, std::unique_ptr<upstream_connection> connection)
        : upstream_{upstream}, connection_{std::move(connection)} {}

    std::uint64_t upstream() const { return upstream_; }

    /// Opens a connection unless it is open. The task owns what it uses, so it may outlive the request.
    /// @param needs_peer whether to connect through another router
    /// @param request hash by which requests are spread over the routers
    static task<void> open(std::shared_ptr<early_connection> opened, bool needs_peer, std::uint64_t request,
                           std::chrono::milliseconds timeout, time_point deadline);

    /// Why the connection could not be opened; none while that is under way, or if it was.
    std::optional<failure> error() const;

    /// Whether the connection is open, and its peer has not closed it meanwhile.
    bool is_ready();

    /// Passes on a connection that is ready.
    std::unique_ptr<upstream_connection> take() { return std::move(connection_); }

private:
    std::uint64_t upstream_;
    std::unique_ptr<upstream_connection> connection_;
    std::optional<io_result<void>> result_; ///< empty while it is being opened
};

/// Connects to an upstream. If it is to be reached through another router and none can be asked, it may be
/// reached directly after all.
/// @param request hash by which requests are spread over the routers
/// @param timeout of each way
/// @param deadline for both
task<io_result<void>> connect_to_upstream(upstream_connection& connection, bool needs_peer,
                                          std::uint64_t request, std::chrono::milliseconds timeout,
                                          time_point deadline);

} // namespace citronwick

#endif
