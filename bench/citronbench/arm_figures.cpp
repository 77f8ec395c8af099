#include "arm_figures.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <numeric>
#include <ranges>
#include <spdlog/fmt/fmt.h>

namespace citronwick::bench {

namespace {

/// Rounds to three decimals, for readable lines.
double rounded(double value) {
    return std::round(value * 1'000.0) / 1'000.0;
}

} // namespace

double arm_figures::control_total() const {
    const auto values = control_bytes_per_s | std::views::values;
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::string to_json(const arm_figures& figures) {
    boost::json::object control;
    for (const auto& [kind, rate] : figures.control_bytes_per_s) {
        control[kind] = rounded(rate);
    }
    control["total"] = rounded(figures.control_total());
    return boost::json::serialize(boost::json::object{
        {"experiment", figures.experiment},
        {"arm", figures.arm},
        {"seed", figures.seed},
        {"routers", figures.routers},
        {"engines", figures.engines},
        {"reuse", rounded(figures.reuse())},
        {"skew_p50", rounded(figures.skew.quantile(0.5))},
        {"skew_p99", rounded(figures.skew.quantile(0.99))},
        {"skew_max", rounded(figures.skew.max())},
        {"control_bytes_per_s", std::move(control)},
        {"added_p50_ms", rounded(figures.added_p50_ms)},
        {"added_p99_ms", rounded(figures.added_p99_ms)},
        {"ttft_p50_ms", rounded(figures.first_token_ms.quantile(0.5))},
        {"ttft_p95_ms", rounded(figures.first_token_ms.quantile(0.95))},
        {"quiet_ttft_p95_ms", rounded(figures.quiet_first_token_ms.quantile(0.95))},
        {"between_tokens_p95_ms", rounded(figures.between_tokens_ms.quantile(0.95))},
        {"complete", figures.complete},
        {"refused", figures.refused},
        {"unknown", figures.unknown},
        {"lost", figures.lost},
        {"doubled", figures.doubled},
        {"cpu_control", rounded(figures.control_cpu)},
        {"rss_mb", rounded(figures.rss_mb)},
        {"in_force_ms", rounded(figures.in_force_ms)},
    });
}

std::string table_heading() {
    return fmt::format("{:<12} {:<22} {:>6} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>7} {:>5}", "experiment",
                       "arm", "reuse", "skew p50", "skew p99", "skew max", "control/s", "ttft p95", "done",
                       "refused", "lost");
}

std::string to_row(const arm_figures& figures) {
    return fmt::format(
        "{:<12} {:<22} {:>6.3f} {:>8.2f} {:>8.2f} {:>8.2f} {:>9.0f} {:>8.1f} {:>7} {:>7} {:>5}",
        figures.experiment, figures.arm, figures.reuse(), figures.skew.quantile(0.5),
        figures.skew.quantile(0.99), figures.skew.max(), figures.control_total(),
        figures.first_token_ms.quantile(0.95), figures.complete, figures.refused, figures.lost);
}

} // namespace citronwick::bench
