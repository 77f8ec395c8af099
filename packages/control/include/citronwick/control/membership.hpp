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

/// Another router.
struct member {
    wire::member_record record;
    std::uint64_t hash = 0; ///< of the VM's name
    endpoint address;
    std::optional<time_point> last_heard_at{}; ///< last authentic message from it
    time_point discovered_at;
    time_point last_contacted_at; ///< last message to it
};

/// The routers that this one knows, and which of them it hears.
///
/// A router counts as live while its own messages arrive; no router passes a
/// verdict on another one to a third. Silent routers are contacted at a low
/// rate, so that a healed partition is noticed, and forgotten after a while.
class membership {
public:
    /// @param self record of this router; its incarnation grows with each start
    explicit membership(wire::member_record self);

    const wire::member_record& self() const { return self_; }
    std::uint64_t self_hash() const { return self_hash_; }

    /// Sets the address at which other routers reach this one.
    void set_address(std::string address) { self_.fleet_address = std::move(address); }

    /// Sets the incarnation of this router where it was not known from the start.
    void set_incarnation(std::uint64_t incarnation) { self_.incarnation = incarnation; }

    /// Fleet address of a known router.
    std::optional<endpoint> address_of(std::uint64_t router) const;

    /// Marks this router as leaving in what it says of itself.
    void leave() { self_.leaving = true; }

    /// Takes in a record from any source.
    /// @return whether something new was learnt
    bool merge(const wire::member_record& record, time_point now);

    /// Notes an authentic message.
    /// @return false where the sender's record is not known yet
    bool record_message(const wire::header& from, time_point now);

    /// Routers heard recently, without this one. Leaving routers are left out.
    std::vector<const member*> live(time_point now) const;

    /// Live routers of this router's failure domain and region, without this one.
    std::vector<const member*> live_in_domain(time_point now) const;
    std::vector<const member*> live_in_region(time_point now) const;

    /// Failure domains none of whose routers is heard, with the moment at which
    /// the last one was.
    std::map<std::string, time_point> silent_domains(time_point now) const;

    /// Live routers of this router's failure domain, and those that were learnt
    /// of so lately that they need not have been heard yet.
    std::vector<const member*> expected_in_domain(time_point now) const;

    /// Of each other failure domain of the region, the first routers in the
    /// order in which rendezvous hashing assigns a duty.
    std::vector<std::uint64_t> assigned_in_other_domains(std::uint64_t key, std::size_t count,
                                                         time_point now) const;

    /// Other routers that are known, whether heard or not.
    std::size_t known_count() const { return others_.size(); }

    /// Whether each message goes to all routers, as the fleet is small.
    bool is_full_mesh() const;

    /// Routers that the next message should go to, and notes that it does.
    std::vector<const member*> select_gossip_targets(time_point now);

    /// Forgets routers that have been silent for long.
    /// @return hashes of those forgotten
    std::vector<std::uint64_t> remove_silent(time_point now);

    /// Hashes of the routers that went silent and are not live any more.
    std::vector<std::uint64_t> silent(time_point now) const;

    /// Record of some known router, a different one at each call.
    std::optional<wire::member_record> next_record_to_gossip();

    /// Silence after which a router no longer counts as live.
    duration silence_limit() const;

private:
    bool is_live(const member& other, time_point now) const;

    wire::member_record self_;
    std::uint64_t self_hash_;
    std::map<std::uint64_t, member> others_;
    std::uint64_t gossip_cursor_ = 0;
    std::uint64_t target_cursor_ = 0;
};

/// Router to which rendezvous hashing assigns a duty that one router has.
/// @param others live routers that share the duty, without this one
std::uint64_t assigned_router(std::uint64_t key, std::uint64_t self,
                              const std::vector<const member*>& others);

/// Whether this router is among the first `count` of the candidates for a duty
/// that rendezvous hashing assigns.
/// @param others live routers that share the duty, without this one
bool is_assigned(std::uint64_t key, std::uint64_t self, const std::vector<const member*>& others,
                 std::size_t count);

} // namespace citronwick

#endif
