#ifndef CITRONWICK_TRAFFIC_ROUTE_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_EXCHANGE_HPP_INCLUDED

#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/fleet/request_dialect.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/policy/attempt_policy.hpp"
#include "citronwick/policy/room_shortage.hpp"
#include "citronwick/policy/stream_position.hpp"
#include "citronwick/policy/version_slots.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/event_splitter.hpp"
#include "citronwick/traffic/stream_end.hpp"
#include "route_placer.hpp"
#include "unproved_run.hpp"

#include <memory>
#include <optional>
#include <string>

namespace citronwick {

class buffer_reservation;
class early_connection;
class place_queue;
struct exchange_result;
class upstream_connection;
class upstream_exchange;
struct route_context;
struct service_capacity;

/// Processes one routed request.
///
/// `resolve_route` determines route, team and service, or refuses the request.
/// Each attempt then chooses an upstream, sends the request and relays the
/// response; `record_attempt` updates the state and decides whether to try another
/// upstream. `send_final_response` completes the exchange unless the events of a
/// stream were already relayed. Sending and relaying are implemented in
/// route_delivery.cpp, connections in route_connections.cpp, the relaying of streams in
/// route_streams.cpp, the proof of their end in route_stream_ends.cpp, what concerns
/// places on upstreams in route_places.cpp, what concerns crashes of upstreams in
/// route_crashes.cpp, the identity of an upstream's process in route_identity.cpp, the software version of
/// streams in route_versions.cpp, and the choice of an upstream in route_permits.cpp.
class route_exchange {
public:
    route_exchange(route_context& context, caller& from, http_request request, buffer_reservation& buffers);

    task<void> run();

private:
    std::optional<problem> resolve_route();
    std::optional<problem> authenticate_team();
    std::optional<problem> check_key_freshness() const;
    std::optional<problem> check_crashes(time_point now) const;
    void log_suspicions(time_point now) const;
    void record_served(time_point now);
    void report_broken_connection(time_point now);
    bool takes_up_stream() const;
    std::string_view stream_origin() const;
    task<void> choose_version();
    std::uint64_t stream_key() const;
    const version_slots* slots_of_service() const;
    slot_knowledge slot_knowledge_of_service() const;
    task<version_decision> decide_version_of(stream_identity stream);
    task<std::optional<std::optional<std::uint32_t>>> ask_routers();
    task<bool> confirm_slots(boot_time since);
    std::optional<std::string> follow(std::optional<std::uint32_t> version);
    void refuse_if_version_is_gone();
    void refuse_stream(const version_decision& decision, bool has_events);
    void record_stream();
    void log_version(const version_decision& decision) const;
    task<void> place(time_point started);
    task<void> place_when_free(time_point started);
    task<void> wait_for_place(time_point started, place_order order);
    bool is_short_of_room(time_point now) const;
    void note_cold_places(time_point now);
    std::optional<cold_allowance> cold_allowance_now(const routed_placement& placement) const;
    task<void> borrow_place();
    task<void> ask_lenders();
    std::optional<std::uint64_t> choose_lender(const routed_placement& wanted, time_point now);
    placement_parameters current_parameters();
    time_point last_wait(time_point now) const;
    double places_per_second(time_point now);
    std::size_t most_waiting(duration wait, time_point now);
    std::uint32_t request_priority() const;
    void refuse_if_full(time_point now);
    void renew_shortage(time_point now);
    void record_scarce_capacity(service_capacity& capacity, time_point now) const;
    void record_slowness(const response_traits& traits) const;
    void record_brittle(const response_traits& traits, unsigned status, time_point sent_at);
    void release_place();
    std::shared_ptr<place_queue> waiting_requests();
    bool may_use_scarce_capacity(time_point now);
    void refuse_if_late(time_point now);
    void refuse_if_paused(time_point now);
    void record_capacity(time_point now);
    task<void> run_attempts();
    task<bool> run_attempt();
    bool may_place();
    task<exchange_result> send_request(upstream_connection& connection, in_flight_guard& in_flight);
    task<exchange_result> relay_response(upstream_connection& connection);
    task<exchange_result> buffer_response(upstream_connection& connection);
    bool may_buffer_response(std::size_t bytes);
    task<exchange_result> relay_event_stream(upstream_connection& connection);
    task<exchange_result> relay_run(upstream_connection& connection);
    bool is_unproved_end() const;
    void note_response_of_process(const upstream_connection& connection);
    void record_early_end(const unproved_run& earlier);
    task<bool> upstream_accepts(endpoint peer, std::optional<fleet_peer> through);
    task<void> accept_unproved_end();
    task<std::optional<exchange_result>> check_end(const upstream_connection& connection);
    exchange_result end_run(stream_end end, std::string detail);
    task<bool> begin_stream(upstream_connection& connection);
    task<bool> relay_events(upstream_connection& connection, complete_events arrived);
    std::unique_ptr<upstream_connection> acquire_connection(time_point now);
    std::unique_ptr<upstream_connection> acquire_connection(const routed_placement& placement,
                                                            time_point now);
    void release_connection(std::unique_ptr<upstream_connection> connection);
    bool needs_peer(const routed_placement& placement) const;
    void record_connect_failure(std::uint64_t upstream, const failure& error);
    task<void> open_early_connection();
    void prefer_early_connection();
    task<void> connect_if_needed(upstream_connection& connection, exchange_result& result);
    task<void> check_identity(std::unique_ptr<upstream_connection>& connection, exchange_result& result);
    void record_reach(const upstream_connection& connection, const exchange_result& result);
    bool record_attempt(const exchange_result& result);
    bool spend_retry_budget();
    bool withholds_status(unsigned status) const;
    task<void> send_final_response();
    task<void> refuse(problem refusal);
    problem failure_problem(next_step step) const;
    io_result<http::request_header<>> make_forwarded_header() const;
    http_response make_response_head(const upstream_connection& connection) const;
    time_point attempt_deadline(time_point now) const;
    bool may_repeat_elsewhere(time_point now);
    bool take_repeat();
    std::size_t budget_sharers() const;
    bool has_untried_upstream() const;
    bool give_up_response(upstream_connection& connection);
    std::chrono::milliseconds remaining_time(time_point now) const;
    void log_attempt(const exchange_result& result, duration elapsed) const;
    std::string last_event_text() const;
    void note_relayed(const stream_event& event);
    void record_run();
    void log_request_end(std::string_view result) const;

    route_context& context_;
    caller& caller_;
    http_request request_;                    ///< its body is moved to `body_` before the first attempt
    std::shared_ptr<const std::string> body_; ///< shared by the attempts
    buffer_reservation& buffers_;
    std::shared_ptr<const routing_view> view_;            ///< updated before each attempt
    std::shared_ptr<const routing_configuration> config_; ///< in force when the request arrived
    request_traits traits_;
    const route* route_ = nullptr;
    const routed_service* service_ = nullptr;
    const routed_team* team_ = nullptr;
    routed_placement_request placement_request_;
    std::optional<routed_placement> placement_;
    /// Of this router on the service's brittle upstreams, if it has any, or on its upstreams if all of them
    /// are cold.
    std::optional<std::int32_t> places_;
    bool are_places_cold_ = false;
    bool is_short_ = false; ///< upstreams of the service are short of room, see `upstream_limits`
    std::uint64_t fingerprint_ = 0;
    std::vector<std::uint64_t> part_fingerprints_; ///< of the prompt's shared parts
    time_point deadline_;
    time_point attempt_sent_at_;
    bool is_relayed_ = false;        ///< the attempt passes through another router
    bool is_new_connection_ = false; ///< the attempt opened its connection
    attempt_state state_;
    bool has_taken_repeat_ = false;                      ///< from the retry budget, for the next attempt
    std::shared_ptr<early_connection> early_connection_; ///< for the next attempt, none if there is none
    std::vector<std::uint64_t> not_reached_early_;       ///< upstreams to which none could be opened
    next_step next_step_ = next_step::refuse;
    std::string last_attempt_detail_;
    std::optional<problem> refusal_before_send_; ///< set if the request is refused after its arrival
    bool stream_is_complete_ = false;            ///< whether its end was relayed to the caller
    std::optional<http_response>
        buffered_response_; ///< complete response, or an error that is relayed if no later attempt succeeds
    event_splitter events_;
    stream_position position_;                  ///< of the caller in the stream
    std::optional<std::uint64_t> last_data_;    ///< hash of the data of the last event that was relayed
    bool passed_known_last_event_ = false;      ///< an event followed one that ends the version's streams
    std::optional<std::uint64_t> expected_end_; ///< see `last_events::last_event_of`
    std::string media_type_;                    ///< of the response whose header was relayed
    bool is_confirmation_ = false; ///< the attempt asks the upstream of the last one whether an event follows
    std::optional<unproved_run> unproved_;       ///< the last one
    std::uint32_t run_version_ = 0;              ///< see `begun_streams::version_hash`
    std::size_t runs_ = 0;                       ///< responses of upstreams that were relayed as streams
    stream_end stream_end_ = stream_end::broken; ///< of the last run
    upstream_connection* active_connection_ = nullptr; ///< closed when the caller disconnects
};

/// Text of an event's identifier for the log, "-" if it is empty.
std::string event_id_text(const std::string& id);

} // namespace citronwick

#endif
