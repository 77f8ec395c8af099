#ifndef CITRONWICK_TESTS_SOAK_FAULTS_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_FAULTS_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <random>
#include <span>
#include <string_view>

namespace citronwick::soak {

class soak_run;

/// A kind of fault.
struct fault {
    std::string_view name;
    void (*inject)(soak_run&, std::mt19937_64&); ///< returns when the fault is over
    bool disturbs_upstreams = false;
    bool disturbs_engines = false;
    bool silences_links = false;
    bool disturbs_store = false;
};

/// Faults of routers, workers, links and the store. The first `router_fault_count` of
/// them end or pause routers.
std::span<const fault> fleet_faults();
constexpr std::size_t router_fault_count = 3;

/// Faults of what the operating system does to the processes of routers.
std::span<const fault> process_faults();

/// Faults that break event streams, or join what does not belong together. Those behind the first
/// `drawn_stream_fault_count` run by name only: they are known to break guarantees (KNOWN-RED.txt), or
/// would be disturbed by the others.
std::span<const fault> stream_faults();
constexpr std::size_t drawn_stream_fault_count = 6;

/// Faults under more load than the workers bear. They run by name only, since other faults replace
/// those of the workers.
std::span<const fault> load_faults();

/// Faults that run by name only, each with a test of its own.
std::span<const fault> separate_faults();

/// Faults that replace, freeze or exchange processes of upstreams and of the store, and faults of what
/// workers and callers do to the connections of streams. They run by name only.
std::span<const fault> release_faults();
std::span<const fault> connection_faults();

/// Orders of operators about failure domains, and upstreams that come back cold. They run by name only.
std::span<const fault> domain_faults();

/// Keys and entries of other writers in the store. They run by name only.
std::span<const fault> entry_faults();

std::chrono::milliseconds pick_time(std::mt19937_64& random, int least, int most);

} // namespace citronwick::soak

#endif
