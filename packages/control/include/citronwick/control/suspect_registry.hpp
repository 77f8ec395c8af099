#ifndef CITRONWICK_CONTROL_SUSPECT_REGISTRY_HPP_INCLUDED
#define CITRONWICK_CONTROL_SUSPECT_REGISTRY_HPP_INCLUDED

#include "citronwick/policy/suspect_table.hpp"
#include "citronwick/wire/messages.hpp"

#include <mutex>
#include <vector>

namespace citronwick {

/// Thread-safe table of the requests suspected of crashing upstreams. Traffic threads
/// record crashes; the control thread gossips them.
class suspect_registry {
public:
    /// Records that an upstream crashed while it held the request, and queues the
    /// record for gossip.
    /// @param crash identifies the crash, equal on all routers that observed it; not 0
    /// @return number of crashes attributed to the request so far
    std::uint8_t record_crash(std::uint64_t request, std::uint32_t crash, time_point now);

    /// Records that an upstream has served the request. If the request was a suspect,
    /// queues the record for gossip.
    void record_served(std::uint64_t request, time_point now);

    /// @return number of crashes attributed to the request
    std::uint8_t crashes(std::uint64_t request, time_point now) const;

    /// Merges the records of another router, and queues new ones for gossip.
    void merge(const std::vector<wire::suspect_entry>& entries, time_point now);

    /// @return the records queued for gossip since the last call
    std::vector<wire::suspect_entry> take_updates();

    void expire(time_point now);

private:
    mutable std::mutex mutex_;
    suspect_table table_;
    std::vector<wire::suspect_entry> updates_;
};

} // namespace citronwick

#endif
