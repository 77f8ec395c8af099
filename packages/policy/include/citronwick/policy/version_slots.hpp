#ifndef CITRONWICK_POLICY_VERSION_SLOTS_HPP_INCLUDED
#define CITRONWICK_POLICY_VERSION_SLOTS_HPP_INCLUDED

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace citronwick {

/// Assigns streams to the software versions of a service's upstreams.
///
/// A stream must go on at the version that began it, also at a router that has not
/// seen it begin. So the version is no free choice: the identifier of the attempt that
/// begins a stream falls into one of a fixed number of slots, and each slot belongs to
/// one version. While a slot moves to another version it is unsettled: the streams in it
/// may have begun at an earlier one.
class version_slots {
public:
    static constexpr std::size_t slot_count = 64;

    using slot_set = std::bitset<slot_count>;

    struct slot {
        std::string version;           ///< begins new streams
        std::set<std::string> earlier; ///< may have begun streams that still run

        friend bool operator==(const slot&, const slot&) = default;
    };

    /// All slots belong to one version.
    explicit version_slots(const std::string& version = {});

    static std::size_t index_of(std::uint64_t stream) { return stream % slot_count; }

    const slot& at(std::size_t index) const { return slots_.at(index); }
    slot& at(std::size_t index) { return slots_.at(index); }

    /// Makes a slot belong to another version, unsettled.
    void move(std::size_t index, const std::string& version);

    /// Slots whose streams may have begun at an earlier version.
    slot_set unsettled() const;

    /// States that all streams of some slots have begun at the slots' present versions.
    void settle(const slot_set& settled);

    /// The version of all slots if there is only one, and none is unsettled.
    std::optional<std::string> only_version() const;

    friend bool operator==(const version_slots&, const version_slots&) = default;

private:
    std::array<slot, slot_count> slots_;
};

/// Capacity of the upstreams that accept requests, by version.
using version_capacities = std::map<std::string, double, std::less<>>;

/// Divides the slots by the capacities of the versions, and moves as few as possible.
/// Small deviations are left as they are, unless a version has no capacity any more.
/// @param current none if the slots have not been assigned before
/// @return none if there is nothing to change
std::optional<version_slots> divide_slots(const std::optional<version_slots>& current,
                                          const version_capacities& capacities);

/// What is known about a stream when a request begins it or takes it up.
struct stream_identity {
    std::uint64_t attempt = 0;               ///< hash of this attempt's identifier
    std::optional<std::uint64_t> origin{};   ///< hash of the attempt that brought its first event
    bool has_events = false;                 ///< whether the caller has received events of it
    std::optional<std::string> remembered{}; ///< version that a router saw it begin at
    /// What the other routers said of it.
    enum class answers : std::uint8_t {
        not_asked,
        incomplete, ///< not all replied in time, as they are busy, have died, or never say no
        all_unseen  ///< all replied that they do not remember it
    };
    answers others = answers::not_asked;
    bool is_confirmed = false; ///< whether the slots are those of the store since the request came
};

/// What is known about the slots of a service besides them.
struct slot_knowledge {
    bool may_be_of_copy = false; ///< the store came back from a copy, which may lack changes of them
    bool is_service_sure = true; ///< whether a stream cannot have begun at another service of its route
};

/// Where a stream may begin or go on.
struct version_decision {
    enum class step : std::uint8_t {
        use,         ///< only upstreams of `version`
        ask_routers, ///< another router may have seen the stream begin
        confirm,     ///< the slots known here may be older than the store's
        ask_later,   ///< somebody may know later
        refuse       ///< nobody can know
    };

    step next = step::refuse;
    std::string version{};
    std::string_view reason;
};

/// Decides at which version a stream begins or goes on.
/// @param slots null if they have not been assigned yet
version_decision decide_version(const version_slots* slots, const slot_knowledge& known,
                                const stream_identity& stream);

} // namespace citronwick

#endif
