#include "arm_results.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <numeric>
#include <ranges>
#include <spdlog/fmt/fmt.h>

namespace citronwick::bench {

namespace {

/// Rounds to three decimals to keep the lines short.
double round_to_thousandths(double value) {
    return std::round(value * 1'000.0) / 1'000.0;
}

} // namespace

double arm_results::total_control_bytes_per_s() const {
    const auto values = control_bytes_per_s | std::views::values;
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::string to_json(const arm_results& results) {
    boost::json::object control;
    for (const auto& [kind, rate] : results.control_bytes_per_s) {
        control[kind] = round_to_thousandths(rate);
    }
    control["total"] = round_to_thousandths(results.total_control_bytes_per_s());
    return boost::json::serialize(boost::json::object{
        {"experiment", results.experiment},
        {"arm", results.arm},
        {"seed", results.seed},
        {"routers", results.routers},
        {"engines", results.engines},
        {"reuse", round_to_thousandths(results.reuse())},
        {"skew_p50", round_to_thousandths(results.skew.quantile(0.5))},
        {"skew_p99", round_to_thousandths(results.skew.quantile(0.99))},
        {"skew_max", round_to_thousandths(results.skew.max())},
        {"control_bytes_per_s", std::move(control)},
        {"added_p50_ms", round_to_thousandths(results.added_p50_ms)},
        {"added_p99_ms", round_to_thousandths(results.added_p99_ms)},
        {"ttft_p50_ms", round_to_thousandths(results.first_token_ms.quantile(0.5))},
        {"ttft_p95_ms", round_to_thousandths(results.first_token_ms.quantile(0.95))},
        {"quiet_ttft_p95_ms", round_to_thousandths(results.quiet_first_token_ms.quantile(0.95))},
        {"between_tokens_p95_ms", round_to_thousandths(results.between_tokens_ms.quantile(0.95))},
        {"complete", results.complete},
        {"refused", results.refused},
        {"unknown", results.unknown},
        {"lost", results.lost},
        {"doubled", results.doubled},
        {"cpu_control", round_to_thousandths(results.control_cpu)},
        {"rss_mb", round_to_thousandths(results.rss_mb)},
        {"in_force_ms", round_to_thousandths(results.in_force_ms)},
    });
}

std::string table_header() {
    return fmt::format("{:<12} {:<22} {:>6} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>7} {:>5}", "experiment",
                       "arm", "reuse", "skew p50", "skew p99", "skew max", "control/s", "ttft p95", "done",
                       "refused", "lost");
}

std::string to_table_row(const arm_results& results) {
    return fmt::format(
        "{:<12} {:<22} {:>6.3f} {:>8.2f} {:>8.2f} {:>8.2f} {:>9.0f} {:>8.1f} {:>7} {:>7} {:>5}",
        results.experiment, results.arm, results.reuse(), results.skew.quantile(0.5),
        results.skew.quantile(0.99), results.skew.max(), results.total_control_bytes_per_s(),
        results.first_token_ms.quantile(0.95), results.complete, results.refused, results.lost);
}

} // namespace citronwick::bench
