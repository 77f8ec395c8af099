#ifndef CITRONWICK_TRAFFIC_OPERATOR_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_OPERATOR_SERVER_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"

#include <memory>

namespace citronwick {

class control_plane;
class front;
class metrics;

/// Read-only pages for operators and the balancer: /healthz, /readyz,
/// /metrics and /debug/view.
class operator_server {
public:
    operator_server(const endpoint& listen, control_plane& control, metrics& counters, front& callers);
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    ~operator_server();

    /// @return the bound endpoint
    io_result<endpoint> start();

    /// Makes /readyz fail, so that the balancer stops sending callers here.
    void set_unready();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif
