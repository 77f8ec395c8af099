#include "upstream_cuts.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

namespace citronwick::harness {

namespace json = boost::json;

void cut_off(routed_fleet& system, const std::vector<std::size_t>& routers, const char* how) {
    json::array sources;
    for (const std::size_t index : routers) {
        sources.emplace_back(system.routers()[index].source_address);
    }
    const std::string fault = json::serialize(json::object{{how, sources}});
    for (auto* const workers : {&system.plain_workers(), &system.engines()}) {
        for (const node& worker : *workers) {
            set_proxy_fault(worker, fault);
        }
    }
}

reply ask_once(routed_fleet& system, const node& router, const std::string& path,
               const std::string& attempt) {
    return system.ask(router, path, attempt, {{"Citronwick-Deadline-Ms", "600"}});
}

int failures_of(routed_fleet& system, const node& router, const std::string& path, const std::string& name,
                std::chrono::milliseconds time) {
    constexpr std::chrono::milliseconds request_interval{100};
    int failures = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    for (int count = 0; std::chrono::steady_clock::now() < end; ++count) {
        failures += ask_once(system, router, path, name + std::to_string(count)).status == 200 ? 0 : 1;
        std::this_thread::sleep_for(request_interval);
    }
    return failures;
}

} // namespace citronwick::harness
