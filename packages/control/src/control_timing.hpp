#ifndef CITRONWICK_CONTROL_CONTROL_TIMING_HPP_INCLUDED
#define CITRONWICK_CONTROL_CONTROL_TIMING_HPP_INCLUDED

#include "citronwick/core/hash.hpp"
#include "citronwick/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Intervals and limits of the control thread.
namespace citronwick::control_timing {

using namespace std::chrono_literals;

inline constexpr duration gossip_interval = 50ms;
inline constexpr duration heartbeat_interval = 1s;
/// Interval between assignments of count owners; detecting a silent router takes longer.
inline constexpr duration count_owner_interval = 1s;
/// Time for which a changed count waits to be piggybacked on another message.
inline constexpr duration usage_interval = 300ms;
inline constexpr duration refresh_interval = 2s;
/// Timeout of a slot request to the owner of an upstream's count.
inline constexpr duration slot_timeout = 10ms;
inline constexpr duration view_interval = 20ms;
inline constexpr std::size_t watchers_per_domain = 2;
inline constexpr std::size_t probers_per_upstream = 1;
inline constexpr std::size_t max_reports_per_message = 100;
/// Larger fleets gossip to a few routers at a time.
inline constexpr std::size_t max_full_mesh_peers = 8;
inline constexpr double budget_burst_seconds = 2.0;
inline constexpr int leaving_mark_rounds = 3;
/// Records of suspects in one message; keeps it within one Ethernet frame.
inline constexpr std::size_t max_suspect_records = 88;
/// Messages that announce a new generation. With a fanout of three, six rounds reach
/// 3^6 routers; two more are spare.
inline constexpr int version_rounds = 8;
inline constexpr const char* control_thread_name = "control";

/// Key of the platform watcher role, which rendezvous hashing assigns to routers.
inline const std::uint64_t platform_watcher_key = hash64("platform watcher");

} // namespace citronwick::control_timing

#endif
