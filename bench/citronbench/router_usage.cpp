#include "router_usage.hpp"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <ranges>
#include <sstream>
#include <unistd.h>

namespace citronwick::bench {

namespace {

constexpr double kilobytes_per_megabyte = 1'024.0;

void add_control_bytes(const std::string& page, std::map<std::string, double>& bytes) {
    constexpr std::string_view metric = "citronwick_control_bytes{kind=\"";
    for (const auto part : page | std::views::split('\n')) {
        const std::string_view line{part.begin(), part.end()};
        if (line.starts_with(metric)) {
            const auto kind = line.substr(metric.size(), line.find('"', metric.size()) - metric.size());
            const auto text = line.substr(line.rfind(' ') + 1);
            double value = 0.0;
            std::from_chars(text.data(), text.data() + text.size(), value);
            bytes[std::string{kind}] += value;
        }
    }
}

/// User and system time of a thread: fields 14 and 15 of its stat file in /proc.
double thread_seconds(const std::filesystem::path& task) {
    std::ifstream input{task / "stat"};
    std::string line;
    std::getline(input, line);
    std::istringstream fields{line.substr(line.rfind(')') + 2)};
    constexpr int skipped_fields = 11; ///< between the name and the times
    std::string skipped;
    for (int field = 0; field < skipped_fields; ++field) {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double control_thread_seconds(pid_t process) {
    double seconds = 0.0;
    for (const auto& task :
         std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
        std::ifstream input{task.path() / "comm"};
        std::string name;
        std::getline(input, name);
        seconds += name == "control" ? thread_seconds(task.path()) : 0.0;
    }
    return seconds;
}

double resident_megabytes(pid_t process) {
    std::ifstream input{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(input, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(line.find_first_of("0123456789"))) / kilobytes_per_megabyte;
        }
    }
    return 0.0;
}

} // namespace

router_usage read_router_usage(harness::fleet& system) {
    router_usage usage;
    usage.at = std::chrono::steady_clock::now();
    for (harness::router_node& router : system.routers()) {
        const auto page = harness::http_call(router.operators(), {.target = "/metrics"});
        add_control_bytes(page.body, usage.control_bytes);
        usage.control_seconds += control_thread_seconds(router.process->id());
        usage.rss_mb += resident_megabytes(router.process->id());
    }
    return usage;
}

void add_usage_rates(arm_results& results, const router_usage& before, const router_usage& after,
                     std::size_t routers) {
    const double seconds = std::chrono::duration<double>{after.at - before.at}.count();
    const auto count = static_cast<double>(routers);
    for (const auto& [kind, bytes] : after.control_bytes) {
        const auto earlier = before.control_bytes.find(kind);
        const double start = earlier == before.control_bytes.end() ? 0.0 : earlier->second;
        results.control_bytes_per_s[kind] = (bytes - start) / seconds / count;
    }
    results.control_cpu = (after.control_seconds - before.control_seconds) / seconds / count;
    results.rss_mb = after.rss_mb / count;
}

} // namespace citronwick::bench
