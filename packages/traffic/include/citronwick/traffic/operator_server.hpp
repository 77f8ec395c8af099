#ifndef CITRONWICK_TRAFFIC_OPERATOR_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_OPERATOR_SERVER_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"

#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <string>

namespace citronwick {

class http_server;

/// Content of the operators' pages of one product interface. The functions are
/// called on the operator server's thread.
struct operator_pages {
    std::function<bool()> is_ready;
    std::function<std::string()> metrics; ///< in the Prometheus text format
    std::function<boost::json::object()> view;
    std::string readiness_path = "/readyz"; ///< additional path of the readiness page
};

/// Serves read-only pages for operators and the load balancer: /healthz, /readyz,
/// /metrics and /debug/view.
class operator_server {
public:
    operator_server(const endpoint& listen, operator_pages pages, http_server& traffic_server);
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    ~operator_server();

    /// Opens the listener. Connections wait until the start.
    /// @return the bound endpoint
    io_result<endpoint> open();

    /// Starts the thread, after open().
    void start();

    /// Makes /readyz fail, so that the load balancer stops sending requests to this
    /// router.
    void set_unready();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif
