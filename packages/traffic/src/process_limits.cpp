#include "citronwick/traffic/process_limits.hpp"

#include "citronwick/traffic/traffic_settings.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace citronwick {

descriptor_shares shares_in_force(const traffic_settings& settings) {
    rlimit allowed{};
    std::size_t available = settings.descriptors;
    if (::getrlimit(RLIMIT_NOFILE, &allowed) == 0) {
        available = std::min<std::size_t>(available, allowed.rlim_cur);
    }
    return share_descriptors(available, settings.connections);
}

} // namespace citronwick
