#ifndef CITRONWICK_TRAFFIC_HTTP_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_HTTP_SERVER_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/traffic/request_server.hpp"
#include "citronwick/traffic/traffic_settings.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace citronwick {

/// Accepts callers' connections and serves their requests on the traffic threads.
class http_server {
public:
    /// @param make_server creates the request server of each traffic thread
    http_server(const traffic_settings& settings, request_server_factory make_server);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Opens the listener. Connections wait until the start.
    /// @return the bound endpoint
    io_result<endpoint> open();

    /// Starts the threads, after open().
    void start();

    /// Makes responses that begin from now on the last ones on their connections, except where
    /// further requests have already arrived.
    void announce_shutdown();

    /// Accepts the connections that wait for it and closes the listener. Requests in flight continue;
    /// if a drain limit could cut new ones, these are refused from now on.
    void stop_accepting();

    std::size_t open_connections() const;

    std::size_t requests_in_flight() const;

    /// Closes connections on which no request is being served.
    void close_idle_connections();

    /// Stops the threads, even if requests are in flight.
    void stop();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif
