#ifndef CITRONWICK_BENCH_ARM_RESULTS_HPP_INCLUDED
#define CITRONWICK_BENCH_ARM_RESULTS_HPP_INCLUDED

#include "sample.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace citronwick::bench {

/// Measurements of one arm of an experiment.
struct arm_results {
    std::string experiment;
    std::string arm;
    std::uint32_t seed = 0;
    double reusable_tokens = 0.0;
    double reused_tokens = 0.0;
    sample skew; ///< maximum over mean of the engines' requests in flight
    sample first_token_ms;
    sample between_tokens_ms;
    sample quiet_first_token_ms;                       ///< of the teams whose request rate is not raised
    std::map<std::string, double> control_bytes_per_s; ///< per router, by kind
    double added_p50_ms = 0.0;
    double added_p99_ms = 0.0;
    std::int64_t complete = 0;
    std::int64_t refused = 0;
    std::int64_t lost = 0;    ///< neither a complete response nor a reported outcome
    std::int64_t unknown = 0; ///< refusals that report an unknown outcome
    std::int64_t doubled = 0; ///< engine runs in excess of the requests with a response or a reported outcome
    double control_cpu = 0.0; ///< processor cores used for control, per router
    double rss_mb = 0.0;      ///< per router
    double in_force_ms = 0.0; ///< delay until a configuration change reached the last router
    std::uint32_t routers = 0;
    std::uint32_t engines = 0;

    double reuse() const { return reusable_tokens == 0.0 ? 0.0 : reused_tokens / reusable_tokens; }
    double total_control_bytes_per_s() const;
};

/// Formats the results as one line of JSON.
std::string to_json(const arm_results& results);

/// Header line of the table of results.
std::string table_header();

/// Formats the results as a line of that table.
std::string to_table_row(const arm_results& results);

} // namespace citronwick::bench

#endif
