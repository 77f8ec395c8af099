#include "arm_results.hpp"
#include "chat_run.hpp"
#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"
#include "experiment.hpp"
#include "latency_run.hpp"

#include <algorithm>
#include <docopt/docopt.h>
#include <iostream>
#include <spdlog/fmt/fmt.h>

namespace {

namespace bench = citronwick::bench;
namespace harness = citronwick::harness;

constexpr const char* usage = R"(citronbench: measures a fleet of real processes under load.

Usage:
  citronbench FILE [--only NAME] [--arm NAME] [--seed N] [--plot]
  citronbench (-h | --help)

Options:
  --only NAME  Run only the experiments with this name.
  --arm NAME   Run only the arms with this name.
  --seed N     Random seed, overrides the one in the file.
  --plot       Plot cache reuse against load skew of the arms as text.

Prints one line of JSON for each arm, then a table.
)";

/// Declaration with the number of teams that the experiment asks for, empty for the
/// default declaration.
std::string make_declaration(const bench::experiment& plan) {
    if (plan.teams == 0) {
        return {};
    }
    std::string text =
        "[[service]]\nname = \"citron-bench\"\nkind = \"engine\"\nmodels = [\"repair-draft\"]\n\n";
    for (std::uint32_t index = 0; index < plan.teams; ++index) {
        const std::string name = fmt::format("team-{}", index);
        text += fmt::format("[[team]]\nname = \"{}\"\nkey_sha256 = \"{}\"\n\n", name,
                            citronwick::sha256_hex(harness::team_key(name)));
    }
    return text + "[preset.ordinary]\n[preset.peak]\n";
}

harness::fleet_options make_fleet_options(const bench::experiment& plan, const bench::arm_settings& arm) {
    const bool large = plan.routers > 12;
    return {.routers = plan.routers,
            .engines = plan.engines,
            .service_workers = plan.kind == "chats" ? 3U : 0U,
            .shared_engines = plan.shared_engines,
            .engine_arguments = plan.engine_arguments,
            .preset = arm.preset,
            .router_settings = large ? "[limits]\nthreads = 1\n" : "",
            .fleet_settings = arm.fleet,
            .declaration = make_declaration(plan),
            .log_level = "warn"};
}

bench::arm_results run_arm(const bench::experiment& plan, const bench::arm_settings& arm) {
    harness::fleet system{make_fleet_options(plan, arm)};
    if (!system.wait_ready(std::chrono::seconds{120})) {
        throw std::runtime_error("the fleet did not become ready");
    }
    if (plan.kind == "latency") {
        return bench::run_latency(plan, system);
    }
    if (plan.kind == "slopes") {
        return bench::run_slopes(plan, system);
    }
    return bench::chat_run{plan, arm, system}.run();
}

/// Prints a scatter plot of the arms, with skew on the x axis and reuse on the y axis.
void print_plot(const std::vector<bench::arm_results>& all) {
    constexpr int width = 60;
    constexpr int height = 12;
    constexpr double max_skew = 4.0;
    std::vector<std::string> lines(height + 1, std::string(width + 1, ' '));
    char mark = 'a';
    for (const bench::arm_results& each : all) {
        const double x = std::clamp((each.skew.quantile(0.99) - 1.0) / (max_skew - 1.0), 0.0, 1.0);
        const auto row = static_cast<std::size_t>((1.0 - std::clamp(each.reuse(), 0.0, 1.0)) * height);
        lines[row][static_cast<std::size_t>(x * width)] = mark;
        std::cout << mark++ << " = " << each.experiment << " " << each.arm << "\n";
    }
    std::cout << "reuse 1.0\n";
    for (const std::string& line : lines) {
        std::cout << "      |" << line << "\n";
    }
    std::cout << "      +" << std::string(width, '-') << " skew p99 from 1 to " << max_skew << "\n";
}

std::vector<bench::arm_results> run_all(const std::vector<bench::experiment>& experiments,
                                        const std::string& only_arm) {
    std::vector<bench::arm_results> all;
    for (const bench::experiment& plan : experiments) {
        for (const bench::arm_settings& arm : plan.arms) {
            if (only_arm.empty() || arm.name == only_arm) {
                all.push_back(run_arm(plan, arm));
                std::cout << bench::to_json(all.back()) << std::endl;
            }
        }
    }
    return all;
}

} // namespace

int main(int argc, char** argv) {
    auto options = docopt::docopt(usage, {argv + 1, argv + argc});
    const std::string file = options["FILE"].asString();
    auto experiments = citronwick::io_result_of<std::vector<bench::experiment>>(
        [&] { return bench::read_experiments(file); });
    if (experiments.has_error()) {
        std::cerr << experiments.error().detail << "\n";
        return 2;
    }
    if (options["--only"]) {
        std::erase_if(*experiments,
                      [&](const auto& each) { return each.name != options["--only"].asString(); });
    }
    for (bench::experiment& plan : *experiments) {
        plan.seed = options["--seed"] ? static_cast<std::uint32_t>(options["--seed"].asLong()) : plan.seed;
    }
    try {
        const auto all = run_all(*experiments, options["--arm"] ? options["--arm"].asString() : "");
        std::cout << bench::table_header() << "\n";
        std::ranges::for_each(all, [](const auto& each) { std::cout << bench::to_table_row(each) << "\n"; });
        if (options["--plot"].asBool()) {
            print_plot(all);
        }
    } catch (const std::exception& error) {
        std::cerr << "citronbench: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
