#include "versioned_services.hpp"

#include "citronwick/fleet/upstream_observations.hpp"

#include <algorithm>
#include <iterator>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Routes' timeouts for which a stream may last: its first attempt and one that takes it up.
constexpr int timeouts_of_stream = 2;
constexpr duration clock_margin = 1s;

version_capacities capacities_of(const std::vector<routed_upstream>& upstreams,
                                 const upstream_observations& observations, time_point now) {
    std::vector<std::uint64_t> hashes;
    std::ranges::transform(upstreams, std::back_inserter(hashes), &routed_upstream::hash);
    const auto observed = observations.summaries(hashes, {}, now);
    version_capacities slots;
    version_capacities reachable_slots;
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        const upstream_entry& entry = upstreams[index].entry;
        slots[entry.version] += entry.slots;
        reachable_slots[entry.version] += observed[index].is_reachable ? entry.slots : 0.0;
    }
    std::erase_if(slots, [&](const auto& each) { return reachable_slots[each.first] <= 0.0; });
    return slots;
}

} // namespace

std::map<std::string, versioned_service>
versioned_services(const routing_configuration& config,
                   const std::map<std::string, std::vector<routed_upstream>, std::less<>>& upstreams,
                   const upstream_observations& observations, std::chrono::milliseconds staleness,
                   time_point now) {
    std::map<std::string, versioned_service> services;
    for (const route& each : config.routes().routes()) {
        if (each.kind != request_kind::resumable_stream) {
            continue;
        }
        for (const weighted_service& target : each.services) {
            versioned_service& service = services[target.service];
            service.settle_time = std::max<duration>(service.settle_time, timeouts_of_stream * each.timeout +
                                                                              staleness + clock_margin);
        }
    }
    for (auto& [name, service] : services) {
        if (const auto found = upstreams.find(name); found != upstreams.end()) {
            service.capacities = capacities_of(found->second, observations, now);
        }
    }
    return services;
}

} // namespace citronwick
