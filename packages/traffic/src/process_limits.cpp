#include "citronwick/traffic/process_limits.hpp"

#include "citronwick/policy/buffer_budget.hpp"
#include "citronwick/traffic/traffic_settings.hpp"

#include <algorithm>
#include <malloc.h>
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

std::size_t buffer_limit(const traffic_settings& settings) {
    constexpr std::size_t mebibyte = std::size_t{1} << 20U;
    return bytes_for_buffers(settings.memory_mb * mebibyte);
}

void release_large_buffers() {
#ifdef __GLIBC__
    constexpr int large_bytes = 65'536;
    ::mallopt(M_MMAP_THRESHOLD, large_bytes);
#endif
}

} // namespace citronwick
