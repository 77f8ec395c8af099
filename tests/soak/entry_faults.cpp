// Keys and entries that another writer puts into the store.

#include "faults.hpp"
#include "http_call.hpp"
#include "soak_run.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace citronwick::soak {

using namespace std::chrono_literals;
namespace {

/// Time after which a router that has started serves requests beside the entries.
constexpr auto serves_within = 8s;
constexpr std::size_t max_key_bytes = 200;

/// Texts at the edges of what a key may hold: what means something in queries, header fields, JSON and
/// logs, and what is no Unicode text.
constexpr std::array<std::string_view, 24> key_parts{
    "&",          "+",         "#",         "%",        "%41",          "=",  "?",
    "/",          " ",         "\r\n",      "\n",       "\t",           "\"", "\\",
    "\x01",       "\x1b",      "\x7f",      "\xc3\xa9", "\xed\xa0\x80", "a",  "zz",
    "&prefix=zz", "&after=zz", "\r\nX-A: b"};

/// Folders of the store, among which another writer's keys may stand.
constexpr std::array<std::string_view, 6> folders{"servers/", "servers/",     "servers/",
                                                  "notes/",   "op/evacuate/", ""};

std::string draw_key(std::mt19937_64& random) {
    constexpr std::size_t max_parts = 12;
    std::string key{folders.at(random() % folders.size())};
    // Sorts before the sound entries or behind them.
    key += random() % 2 == 0 ? "!" : "~";
    const std::size_t parts = 1 + random() % max_parts;
    for (std::size_t part = 0; part < parts; ++part) {
        key += key_parts.at(random() % key_parts.size());
    }
    if (random() % 4 == 0) {
        key.resize(max_key_bytes, 'k');
    }
    return key;
}

/// An entry of a worker's form that has one odd member, or a text that is no entry.
std::string draw_value(std::mt19937_64& random) {
    constexpr std::array<std::string_view, 8> texts{
        "", "{}", "[]", "null", "{\"service\":", "\xff\xfe", "\"text\"", "7"};
    constexpr std::array<std::pair<std::string_view, std::string_view>, 10> members{{
        {"service", "7"},
        {"address", "\"nowhere\""},
        {"address", "\"[fe80::1%0\\r\\nX-A: b]:80\""},
        {"zone", "{}"},
        {"version", "null"},
        {"slots", "4294967296"},
        {"state", "\"asleep\""},
        {"coldRemainingMs", "\"1\""},
        {"seq", "-1"},
        {"born", "1e300"},
    }};
    if (random() % 2 == 0) {
        return std::string{texts.at(random() % texts.size())};
    }
    const auto& [odd, value] = members.at(random() % members.size());
    constexpr std::array<std::pair<std::string_view, std::string_view>, 9> sound{{
        {"service", "\"desk\""},
        {"address", "\"127.0.0.1:9\""},
        {"zone", "\"busan-a\""},
        {"version", "\"v1\""},
        {"slots", "8"},
        {"state", "\"ready\""},
        {"coldRemainingMs", "0"},
        {"seq", "1"},
        {"born", "1"},
    }};
    std::string text = "{";
    for (const auto& [name, usual] : sound) {
        text += (text.size() > 1 ? ",\"" : "\"") + std::string{name} +
                "\":" + std::string{name == odd ? value : usual};
    }
    return text + "}";
}

/// All routers are killed and started again, in one moment or one after the other.
void restart_routers(soak_run& run, std::mt19937_64& random) {
    std::vector<std::unique_ptr<std::scoped_lock<std::mutex>>> used;
    std::vector<std::unique_ptr<disturbance>> marked;
    for (router_supervisor& router : run.routers) {
        used.push_back(std::make_unique<std::scoped_lock<std::mutex>>(router.in_use()));
        marked.push_back(std::make_unique<disturbance>(router.interruptions()));
    }
    const bool at_once = random() % 2 == 0;
    if (at_once) {
        std::ranges::for_each(run.routers, [](router_supervisor& each) { each.kill(); });
    }
    for (router_supervisor& router : run.routers) {
        router.kill();
        router.start();
    }
}

bool serves(soak_run& run, const router_supervisor& router) {
    const harness::call request{
        .target = request_paths.front(),
        .headers = {{"Host", "shop.example"},
                    {"X-Api-Key", "club-key"},
                    {"Citronwick-Attempt-Id", "odd-" + std::to_string(run.next_attempt++)},
                    {"Citronwick-Deadline-Ms", "2000"}}};
    return harness::http_call(router.address(), request).status == 200;
}

/// Waits until a router serves a request. Time does not count while the store is disturbed, since a router
/// that starts then knows no configuration.
bool serves_in_time(soak_run& run, const router_supervisor& router) {
    constexpr int max_waits = 4;
    for (int waits = 0; waits < max_waits; ++waits) {
        const auto before = run.store_disturbances.now();
        if (harness::wait_until([&] { return serves(run, router); }, serves_within)) {
            return true;
        }
        if (run.store_disturbances.was_quiet_since(before)) {
            break;
        }
    }
    return false;
}

/// Another writer's entries stand beside the others for some seconds, in which all routers start again.
/// Each router serves requests meanwhile.
void write_odd_entries(soak_run& run, std::mt19937_64& random) {
    constexpr std::size_t max_entries = 12;
    std::vector<std::string> keys(1 + random() % max_entries);
    std::ranges::generate(keys, [&] { return draw_key(random); });
    const std::string page = R"({"page_items":)" + std::to_string(1 + random() % 3) + "}";
    harness::set_fault(run.fleet.store(), page);
    for (const std::string& key : keys) {
        run.fleet.put_key(key, draw_value(random));
    }
    const int restarts = 1 + static_cast<int>(random() % 2);
    for (int restart = 0; restart < restarts; ++restart) {
        std::this_thread::sleep_for(pick_time(random, 0, 800));
        restart_routers(run, random);
        for (const router_supervisor& router : run.routers) {
            if (!serves_in_time(run, router)) {
                run.checker.add_violation("RECOVER: " + router.name() + " serves nothing beside odd entries");
            }
        }
    }
    std::ranges::for_each(keys, [&](const std::string& key) { run.fleet.remove_key(key); });
}

constexpr std::array faults{fault{"odd_entries", &write_odd_entries}};

} // namespace

std::span<const fault> entry_faults() {
    return faults;
}

} // namespace citronwick::soak
