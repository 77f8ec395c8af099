#ifndef CITRONWICK_CONTROL_CONTROL_METER_HPP_INCLUDED
#define CITRONWICK_CONTROL_CONTROL_METER_HPP_INCLUDED

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace citronwick {

/// Kinds of control traffic.
enum class control_traffic : std::uint8_t { gossip, documents, probes, key_value, vm_list, claims };

constexpr std::array<std::string_view, 6> control_traffic_names{"gossip",    "documents", "probes",
                                                                "key_value", "vm_list",   "claims"};

/// Counts the bytes of control traffic by kind, including estimated packet headers.
/// Covers the sent bytes of traffic between routers, and both directions of probes
/// and of calls to the platform.
class control_meter {
public:
    void add(control_traffic kind, std::uint64_t bytes) {
        bytes_.at(static_cast<std::size_t>(kind)).fetch_add(bytes, std::memory_order_relaxed);
    }
    std::uint64_t bytes(control_traffic kind) const {
        return bytes_.at(static_cast<std::size_t>(kind)).load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, control_traffic_names.size()> bytes_{};
};

} // namespace citronwick

#endif
