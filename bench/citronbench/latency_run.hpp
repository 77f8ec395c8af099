#ifndef CITRONWICK_BENCH_LATENCY_RUN_HPP_INCLUDED
#define CITRONWICK_BENCH_LATENCY_RUN_HPP_INCLUDED

#include "arm_results.hpp"
#include "experiment.hpp"
#include "fleet.hpp"

namespace citronwick::bench {

/// Measures the latency that one router adds: requests alternate between the engine
/// itself and the router, over persistent connections.
arm_results run_latency(const experiment& plan, harness::fleet& system);

/// Measures control traffic, processor time, memory and the delay of a configuration
/// change in an idle fleet of the experiment's size.
arm_results run_slopes(const experiment& plan, harness::fleet& system);

} // namespace citronwick::bench

#endif
