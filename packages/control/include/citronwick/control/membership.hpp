#ifndef CITRONWICK_CONTROL_MEMBERSHIP_HPP_INCLUDED
#define CITRONWICK_CONTROL_MEMBERSHIP_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/time.hpp"
#include "citronwick/wire/envelope.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

/// Another router of the fleet.
struct member {
    wire::member_record record;
    std::uint64_t hash = 0; ///< of the VM name
    endpoint address;
    std::optional<time_point> last_heard_at{}; ///< time of the last authenticated message from it
    time_point discovered_at;
    time_point last_contacted_at; ///< time of the last message sent to it
    bool is_registered = true;    ///< has an entry in the platform's store
};

/// Membership list of the fleet, with the liveness of each router as seen from
/// this one.
///
/// A router is live while its own messages arrive. Liveness is never gossiped:
/// each router judges the others by direct contact only. Silent routers are still
/// contacted at a low rate, so that the fleet recovers from a partition, and
/// removed after a timeout.
class membership {
public:
    /// What a router that has announced its end counts as until it is silent.
    enum class leaving_counts_as : std::uint8_t { not_live, live };

    /// @param self record of this router; its incarnation increases with each start
    explicit membership(wire::member_record self, leaving_counts_as leaving = leaving_counts_as::not_live);

    const wire::member_record& self() const { return self_; }
    std::uint64_t self_hash() const { return self_hash_; }

    /// Sets the fleet address that this router advertises.
    void set_address(std::string address) { self_.fleet_address = std::move(address); }

    /// Sets the incarnation of this router if it was unknown at construction.
    void set_incarnation(std::uint64_t incarnation) { self_.incarnation = incarnation; }

    /// @return the fleet address of a known router
    std::optional<endpoint> address_of(std::uint64_t router) const;

    /// Marks this router as leaving in its own record.
    void leave() { self_.leaving = true; }

    /// Merges a record from any source.
    /// @return whether the record added or changed a member
    bool merge(const wire::member_record& record, time_point now);

    /// Records an authenticated message as a sign of life of its sender.
    /// @return false if no record of the sender with this incarnation is known yet
    bool record_message(const wire::header& from, time_point now);

    /// Routers that sent a message within the silence timeout, except this one, and except those that
    /// are leaving if these do not count as live.
    std::vector<const member*> live(time_point now) const;

    /// Routers that sent a message within the silence timeout and are leaving, except this one.
    std::vector<const member*> heard_leaving(time_point now) const;

    /// Other live routers of this router's failure domain and region.
    std::vector<const member*> live_in_domain(time_point now) const;

    /// Other live routers of this router's region.
    std::vector<const member*> live_in_region(time_point now) const;

    /// Other failure domains all of whose routers are silent, with the time of the
    /// last message from any of them.
    std::map<std::string, time_point> silent_domains(time_point now) const;

    /// Other routers of this router's failure domain that are live, or were
    /// discovered too recently to count as silent.
    std::vector<const member*> expected_in_domain(time_point now) const;

    /// Other routers that are live, or were discovered too recently to count as silent.
    std::vector<const member*> expected(time_point now) const;

    /// Ranks the live routers of each other failure domain of the region by
    /// rendezvous hashing.
    /// @param key identifies the assigned role
    /// @param count number of routers to take from each failure domain
    std::vector<std::uint64_t> assigned_in_other_domains(std::uint64_t key, std::size_t count,
                                                         time_point now) const;

    /// Number of other known routers, live or silent.
    std::size_t known_count() const { return others_.size(); }

    /// Hashes of the other routers that may still send requests: those with an entry in
    /// the store, or live. If leaving ones do not count as live, those are active until they are silent.
    std::vector<std::uint64_t> active(time_point now) const;
    std::size_t active_count(time_point now) const { return active(now).size(); }

    /// Records that a router's entry was removed from the store.
    void record_unregistered(const std::string& vm);

    /// Whether the fleet is small enough to send each message to all routers.
    bool is_full_mesh() const;

    /// Selects the recipients of the next message and marks them as contacted.
    std::vector<const member*> select_gossip_targets(time_point now);

    /// Removes routers whose silence has exceeded the removal timeout.
    /// @return hashes of the removed routers
    std::vector<std::uint64_t> remove_silent(time_point now);

    /// Hashes of the known routers that are not live.
    std::vector<std::uint64_t> silent(time_point now) const;

    /// @return the record of a known router, in round-robin order
    std::optional<wire::member_record> next_record_to_gossip();

    /// Time without messages after which a router is no longer live. Grows with the
    /// fleet, as a larger fleet needs more rounds of gossip to reach every router.
    duration silence_timeout() const;

private:
    bool has_left(const member& other) const;
    bool is_heard(const member& other, time_point now) const;
    bool is_live(const member& other, time_point now) const;

    wire::member_record self_;
    std::uint64_t self_hash_;
    leaving_counts_as leaving_;
    std::map<std::uint64_t, member> others_;
    std::uint64_t gossip_cursor_ = 0;
    std::uint64_t target_cursor_ = 0;
};

/// Assigns a role to a single router by rendezvous hashing.
/// @param key identifies the role
/// @param self hash of this router, itself a candidate
/// @param others the other candidates
/// @return hash of the assigned router
std::uint64_t assigned_router(std::uint64_t key, std::uint64_t self,
                              const std::vector<const member*>& others);

/// Whether rendezvous hashing ranks this router among the first `count`
/// candidates for a role.
/// @param key identifies the role
/// @param self hash of this router, itself a candidate
/// @param others the other candidates
bool is_assigned(std::uint64_t key, std::uint64_t self, const std::vector<const member*>& others,
                 std::size_t count);

} // namespace citronwick

#endif
