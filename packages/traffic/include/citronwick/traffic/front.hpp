#ifndef CITRONWICK_TRAFFIC_FRONT_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_FRONT_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/traffic/request_server.hpp"
#include "citronwick/traffic/traffic_settings.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace citronwick {

/// The callers' front: listens, and serves requests on the traffic threads.
class front {
public:
    /// @param make_server makes the server of each traffic thread
    front(const traffic_settings& settings, request_server_factory make_server);
    front(const front&) = delete;
    front& operator=(const front&) = delete;
    ~front();

    /// Binds the listener and starts the threads.
    /// @return the bound endpoint
    io_result<endpoint> start();

    /// Asks callers to close their connections with the next answer.
    void announce_shutdown();

    /// Stops listening; requests in flight go on.
    void stop_accepting();

    /// Connections that are open.
    std::size_t open_connections() const;

    /// Requests that are being served.
    std::size_t requests_in_flight() const;

    /// Closes connections on which no request is being served.
    void close_idle_connections();

    /// Ends the threads, whatever is in flight.
    void stop();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif
