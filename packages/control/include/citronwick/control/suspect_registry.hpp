#ifndef CITRONWICK_CONTROL_SUSPECT_REGISTRY_HPP_INCLUDED
#define CITRONWICK_CONTROL_SUSPECT_REGISTRY_HPP_INCLUDED

#include "citronwick/policy/suspect_table.hpp"
#include "citronwick/wire/messages.hpp"

#include <mutex>
#include <vector>

namespace citronwick {

/// Suspects that traffic threads find and the control thread passes on.
class suspect_registry {
public:
    /// Notes a crash; other routers are told.
    /// @return crashes of the request so far
    /// @param crash names the crash, the same for all routers that saw it; not 0
    std::uint8_t record_crash(std::uint64_t request, std::uint32_t crash, time_point now);

    /// Notes that an upstream has served the request; other routers are told
    /// where it was a suspect.
    void record_served(std::uint64_t request, time_point now);

    std::uint8_t crashes(std::uint64_t request, time_point now) const;

    /// Takes in what another router says.
    void merge(const std::vector<wire::suspect_entry>& entries, time_point now);

    /// What has changed since the last call, for gossip.
    std::vector<wire::suspect_entry> take_updates();

    void expire(time_point now);

private:
    mutable std::mutex mutex_;
    suspect_table table_;
    std::vector<wire::suspect_entry> updates_;
};

} // namespace citronwick

#endif
