#ifndef CITRONWICK_FLEET_VERSION_ASSIGNMENT_HPP_INCLUDED
#define CITRONWICK_FLEET_VERSION_ASSIGNMENT_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/watched_kv_client.hpp"
#include "citronwick/policy/version_slots.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronwick {

/// A service whose streams may be resumed, as a router sees it.
struct versioned_service {
    version_capacities capacities; ///< of the upstreams that accept requests
    /// Time after which no stream runs any more that a router began before it learnt of a change.
    duration settle_time{};
};

/// Maintains in the platform's store which software version begins which streams, one
/// key a service. It must outlast the routers: those that start after all of them were
/// killed must know at which version the streams began that callers take up.
///
/// A store that comes back from a copy may lack changes of the slots by which streams that
/// still run began. So each key names the newest era of the store in which its slots are known to
/// lack none: a router adds the present one once it has followed it for the settle time.
///
/// All routers follow the keys; one writes. A change of a key by compare-and-swap is never
/// lost, so it does no harm if several routers take themselves for the writer. Used by the
/// control thread only.
class version_assignment {
public:
    using slots_by_service = std::map<std::string, std::shared_ptr<const version_slots>, std::less<>>;

    /// @param prefix of the keys, which end with the names of the services
    /// @param on_change called after a write of this router; not by `apply`
    version_assignment(asio::any_io_executor executor, kv_client& store, std::string prefix,
                       std::function<void()> on_change);

    /// Applies a change of a key.
    /// @return false if it is none of these keys
    bool apply(const kv_change& change, time_point now);

    /// Records that the changes that follow are a complete listing of the store.
    /// @param era of the store
    void begin_listing(std::uint64_t era, time_point now);

    /// Records that the listing has been applied. Keys that it lacks are written again.
    void end_listing();

    /// Writes the changes that are due.
    /// @param write_delay time for which a change must have been due before this router writes it
    void tick(const std::map<std::string, versioned_service>& services, duration write_delay, time_point now);

    const slots_by_service& slots() const { return published_; }

    /// Services whose slots may lack changes that a store lost when it came back from a copy, and
    /// until when.
    std::map<std::string, time_point, std::less<>> unproven() const;

private:
    struct tracked {
        std::optional<version_slots> slots;
        std::uint64_t number = 0;  ///< of the newest known state; increases with each write
        std::uint64_t era = 0;     ///< newest one in which the slots are known to lack no change
        std::int64_t revision = 0; ///< of the key in the store, 0 if it is missing
        bool is_stored = false;    ///< whether the store holds the newest known state
        std::array<time_point, version_slots::slot_count> changed_at{}; ///< as seen by this router
        std::optional<time_point> due_since;
        time_point written_at;
        bool is_writing = false;
    };

    /// Slots as a key holds them.
    struct stored_slots {
        version_slots slots;
        std::uint64_t number = 0;
        std::uint64_t era = 0;
    };

    static std::optional<stored_slots> parse(const std::string& text);
    static std::string to_text(const stored_slots& stored);
    void adopt(const std::string& service, stored_slots stored, time_point now);
    std::optional<version_slots> next_slots(const tracked& known, const versioned_service& service,
                                            time_point now) const;
    std::uint64_t proven_era(const tracked& known, duration settle_time, time_point now) const;
    task<void> write(std::string service, stored_slots stored);

    asio::any_io_executor executor_;
    kv_client& store_;
    std::string prefix_;
    std::function<void()> on_change_;
    std::map<std::string, tracked, std::less<>> services_;
    slots_by_service published_;
    std::uint64_t era_ = 0;    ///< of the store
    time_point era_seen_at_{}; ///< when this router first followed it
    bool is_listed_ = false;
};

} // namespace citronwick

#endif
