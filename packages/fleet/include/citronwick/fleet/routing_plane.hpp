#ifndef CITRONWICK_FLEET_ROUTING_PLANE_HPP_INCLUDED
#define CITRONWICK_FLEET_ROUTING_PLANE_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/core/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace citronwick {

struct kv_call_counts;
struct permit_decision;
class begun_streams;
class early_closers;
class borrowed_place;
class platform_adapter;
class reach_monitor;
class last_events;
class stream_numberings;
class upstream_observations;
class suspect_registry;
class upstream_limits;
struct routing_settings;
struct crash_suspect;
struct routing_view;

/// The control thread of a router whose fleet is declared in the platform's store.
///
/// It is the only writer of the configuration, the upstreams and the members,
/// and publishes immutable views of them. All functions are thread-safe.
class routing_plane {
public:
    routing_plane(routing_settings settings, const platform_adapter& adapter);
    routing_plane(const routing_plane&) = delete;
    routing_plane& operator=(const routing_plane&) = delete;
    ~routing_plane();

    /// Binds the fleet channel and starts the thread.
    /// @param listen UDP; port 0 selects a free port
    /// @return the bound endpoint
    io_result<endpoint> start(const endpoint& listen);

    /// Tells the other routers that this one is leaving.
    void leave();

    void stop();

    std::shared_ptr<const routing_view> view() const;
    const routing_settings& settings() const;

    /// Whether the team keys were confirmed recently enough to accept requests with them.
    bool keys_are_fresh(boot_time now) const;

    /// Age of the newest confirmation of the team keys, none before the first one.
    std::optional<duration> key_age(boot_time now) const;

    upstream_observations& observations();
    suspect_registry& suspects();
    begun_streams& streams();
    /// How versions of services number the events of their streams. Thread-safe.
    stream_numberings& numberings();
    /// With which events the streams of versions of services end. Thread-safe.
    last_events& ends();
    /// Upstreams whose closes prove no end of a stream. Thread-safe.
    early_closers& early_closes();
    reach_monitor& reach();
    const reach_monitor& reach() const;
    upstream_limits& limits();
    const upstream_limits& limits() const;

    /// Requests a permit for one request to a rate-limited upstream.
    /// @param upstream hash of its incarnation
    /// @param saving_ms see `permit_pool::take`
    /// @param reply called on the control thread, or never if the permit coordinator
    ///        does not answer
    void request_permit(std::uint64_t upstream, double saving_ms, std::function<void(permit_decision)> reply);

    /// Asks another router for one of its places on a brittle upstream, for one request.
    /// @param lender its hash
    /// @param upstream hash of its incarnation
    /// @param lifetime time after which the request has ended in any case
    /// @param reply called on the control thread with the place, null if there is none to lend, or
    ///        never if the router does not reply
    void borrow_place(std::uint64_t lender, std::uint64_t upstream, duration lifetime,
                      std::function<void(std::shared_ptr<const borrowed_place>)> reply);

    /// Asks the other routers at which version they saw a stream begin.
    /// @param key see `begun_streams::key`
    /// @param reply called on the control thread, see `stream_exchange::ask`
    void ask_stream_version(std::uint64_t key, std::function<void(std::optional<std::uint32_t>)> reply);

    /// Asks the store whether this router knows all of its changes.
    /// @param since when the question may have been asked at the earliest
    /// @param reply called on the control thread once it does, or never if the store does not answer
    void request_confirmation(boot_time since, std::function<void(bool)> reply);

    /// Records that a connection broke while the upstream was running a request.
    /// @param suspects the request and the parts of its prompt that may have caused it
    void report_broken_connection(std::vector<crash_suspect> suspects, std::uint64_t upstream);

    /// Records that an upstream said in a response that it is leaving.
    void report_leaving_upstream(std::uint64_t upstream);

    /// Records that an upstream refuses connections after one broke.
    void report_refusing_upstream(std::uint64_t upstream);

    /// Calls to the platform's store since start.
    const kv_call_counts& store_calls() const;

    /// Bytes sent to other routers since start.
    std::uint64_t gossip_bytes() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif
