#ifndef CITRONWICK_TRAFFIC_ADMISSION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ADMISSION_HPP_INCLUDED

#include "citronwick/control/fleet_view.hpp"
#include "citronwick/control/upstream_usage.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/policy/fair_queue.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/traffic/problem.hpp"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

class control_plane;
class metrics;

/// Request for an upstream of a service.
struct admission_request {
    std::string service;
    std::string team;
    double team_weight = 1.0;
    placement_request placement;
    std::string_view policy;               ///< name of the placement policy
    std::vector<std::uint64_t> excluded{}; ///< upstreams on which the request failed
    bool is_suspect = false; ///< an upstream crashed while it ran the request; see `candidates_for`
    std::string request_id;
    std::string chat_id; ///< written to the log
};

/// Upstream assigned to a request, which counts as in flight while this exists.
struct admitted_request {
    upstream_view upstream;
    usage_guard usage;
    std::string_view reason;
};

/// Places requests on upstreams. While all upstreams of a service are full, its
/// requests wait in a queue that is fair to teams. Shared by the traffic threads.
class admission {
public:
    admission(control_plane& control, metrics& counters);
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;
    ~admission();

    /// Finds an upstream, waiting for up to the preset's queue timeout.
    /// @return the upstream, or the refusal to send to the caller
    task<boost::system::result<admitted_request, problem>> admit(const admission_request& request);

    /// Wakes the next queued request of the service, after a request has ended.
    void request_ended(const std::string& service);

private:
    class queue_place;
    struct waiter {
        asio::any_io_executor executor;
        std::shared_ptr<asio::steady_timer> timer;
    };
    struct service_queue {
        fair_queue queue;
        std::map<fair_queue::ticket, waiter> waiters;
    };
    struct placement_attempt {
        std::optional<admitted_request> admitted;
        std::string_view reason;
    };

    task<placement_attempt> place(const admission_request& request);
    static std::vector<candidate> candidates_for(const admission_request& request,
                                                 const std::vector<upstream_view>& upstreams);
    task<bool> reserve_slot(const upstream_view& upstream, const placement_decision& decision);
    void log_decision(const admission_request& request, const std::vector<candidate>& candidates,
                      const placement_decision& decision);
    std::optional<fair_queue::ticket> enqueue(const admission_request& request, const preset& policy,
                                              time_point now, waiter entry);
    bool queue_is_empty(const std::string& service);
    bool is_next(const std::string& service, fair_queue::ticket ticket);
    void leave_queue(const std::string& service, fair_queue::ticket ticket);
    void wake_next(service_queue& waiting);

    control_plane& control_;
    metrics& counters_;
    std::map<std::string, std::unique_ptr<placement_policy>, std::less<>> policies_;
    std::mutex mutex_;
    std::map<std::string, service_queue> queues_;
};

/// Called by Boost.System when `value()` is called on a refused admission.
[[noreturn]] void throw_exception_from_error(const problem& error, const boost::source_location& location);

} // namespace citronwick

#endif
