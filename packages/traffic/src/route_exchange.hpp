#ifndef CITRONWICK_TRAFFIC_ROUTE_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_EXCHANGE_HPP_INCLUDED

#include "citronwick/fleet/request_dialect.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/policy/attempt_policy.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/event_splitter.hpp"
#include "route_placer.hpp"

#include <memory>
#include <optional>
#include <string>

namespace citronwick {

struct exchange_result;
class upstream_connection;
class upstream_exchange;
struct route_context;

/// One routed request on its way to an upstream and back.
///
/// `prepare` finds route, team and service or a refusal. Then attempts follow
/// each other: place, send, deliver what came back, and `settle` what it showed
/// and whether another upstream is tried. `finish` tells the caller the end
/// unless a stream's events have gone out already. Sending and delivering stand
/// in route_delivery.cpp.
class route_exchange {
public:
    route_exchange(route_context& thread, caller& from, http_request request);

    task<void> run();

private:
    std::optional<problem> prepare();
    std::optional<problem> identify_team();
    std::optional<problem> check_keys() const;
    task<void> run_attempts();
    task<bool> run_attempt();
    task<exchange_result> send(upstream_connection& connection, work_guard& work);
    task<exchange_result> deliver(upstream_connection& connection);
    task<exchange_result> deliver_whole(upstream_connection& connection);
    task<exchange_result> deliver_events(upstream_connection& connection);
    task<bool> forward_events(upstream_connection& connection, std::string events);
    task<void> connect_if_needed(upstream_connection& connection, exchange_result& result);
    bool settle(const exchange_result& result);
    bool take_retry();
    task<void> finish();
    task<void> refuse(problem why);
    problem failure_to_tell(next_step step) const;
    http_request forwarded_request() const;
    http_response answer_head(const upstream_connection& connection) const;
    time_point attempt_deadline(time_point now) const;
    std::chrono::milliseconds time_left(time_point now) const;
    void log_attempt(const exchange_result& result, duration took) const;
    void log_end(std::string_view result) const;

    route_context& thread_;
    caller& from_;
    http_request request_;
    std::shared_ptr<const routing_view> view_;            ///< newest, for each attempt
    std::shared_ptr<const routing_configuration> config_; ///< in force when the request came
    request_traits traits_;
    const route* route_ = nullptr;
    const routed_service* service_ = nullptr;
    const routed_team* team_ = nullptr;
    placement_question question_;
    std::optional<placed_request> placed_;
    std::uint64_t fingerprint_ = 0;
    time_point deadline_;
    attempt_state state_;
    next_step step_ = next_step::refuse;
    std::string last_detail_;
    std::optional<problem> late_refusal_; ///< found out between placing and sending
    std::optional<http_response>
        kept_answer_; ///< a failure of an upstream, told if no other attempt does better
    event_splitter events_;
    upstream_connection* open_connection_ = nullptr; ///< to close when the caller leaves
};

} // namespace citronwick

#endif
