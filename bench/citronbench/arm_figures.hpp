#ifndef CITRONWICK_BENCH_ARM_FIGURES_HPP_INCLUDED
#define CITRONWICK_BENCH_ARM_FIGURES_HPP_INCLUDED

#include "sample.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace citronwick::bench {

/// What one arm measured.
struct arm_figures {
    std::string experiment;
    std::string arm;
    std::uint32_t seed = 0;
    double reusable_tokens = 0.0;
    double reused_tokens = 0.0;
    sample skew; ///< of requests in flight, max over mean
    sample first_token_ms;
    sample between_tokens_ms;
    sample quiet_first_token_ms;                       ///< of the teams that do not surge
    std::map<std::string, double> control_bytes_per_s; ///< per router, by kind
    double added_p50_ms = 0.0;
    double added_p99_ms = 0.0;
    std::int64_t complete = 0;
    std::int64_t refused = 0;
    std::int64_t lost = 0;    ///< neither a whole answer nor an honest refusal
    std::int64_t unknown = 0; ///< told that the outcome is not known
    std::int64_t doubled = 0; ///< runs on engines beyond the requests that were answered or told
    double control_cpu = 0.0; ///< share of a core, per router
    double rss_mb = 0.0;      ///< per router
    double in_force_ms = 0.0; ///< last router's delay of a configuration change
    std::uint32_t routers = 0;
    std::uint32_t engines = 0;

    double reuse() const { return reusable_tokens == 0.0 ? 0.0 : reused_tokens / reusable_tokens; }
    double control_total() const;
};

/// The figures as one line of JSON.
std::string to_json(const arm_figures& figures);

/// Heading and row of the table of results.
std::string table_heading();
std::string to_row(const arm_figures& figures);

} // namespace citronwick::bench

#endif
