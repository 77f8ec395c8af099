// Idle connections to the store go silent, while new ones work. Seconds later the routers that
// watch the store for the zones are killed at once, and a worker leaves. The other routers
// learn of it late, take the time between for an outage of the store, doubt the removal, and
// go on sending requests to that worker.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr milliseconds drain_bound{2000};   // drainMs
constexpr milliseconds stable_window{3000}; // stableWindowMs
constexpr milliseconds linger{7000};        // for which the leaving worker still serves
constexpr milliseconds down_time{2000};     // for_s = 2.0

struct ledger {
    std::mutex mutex;
    std::map<std::string, std::string> run_by; ///< attempt: worker
};

int run(record& log, const std::string& directory) {
    auto& platform = *new store;
    auto& seen = *new ledger;
    auto& workers = *new std::vector<std::unique_ptr<worker>>;
    for (int index = 0; index < 3; ++index) {
        workers.push_back(
            std::make_unique<worker>(log, "i-desk" + std::to_string(index), "shop-desk",
                                     [&seen](worker& self, connection& from, const message& request) {
                                         {
                                             const std::scoped_lock lock{seen.mutex};
                                             seen.run_by[request.field("Citronwick-Attempt-Id")] = self.id();
                                         }
                                         return self.answer(from, request, "200 OK", "booked");
                                     }));
        workers.back()->register_at(platform);
    }
    platform.put("op/config", config_text(100, {{.prefix = "/puxa403/", .kind = "unsafe"}}, {}));
    // Machines by zone as in the site.
    const std::vector<std::string> zones{"north-yard", "north-yard", "north-yard",
                                         "city-hall",  "city-hall",  "pump-station"};
    std::vector<std::unique_ptr<router>> routers;
    for (std::size_t index = 0; index < zones.size(); ++index) {
        routers.push_back(std::make_unique<router>(
            directory, "front-" + zones[index] + "-" + std::to_string(index), platform.address(),
            "127.0.0." + std::to_string(11 + index), zones[index]));
    }
    for (const auto& each : routers) {
        if (!each->wait_until_ready()) {
            return could_not_run;
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds{9}); // the routers find each other
    // A waiting watch lasts 5 s at most, so a router that made none since does not watch.
    const auto recently = clock::now() - milliseconds{5500};
    std::vector<router*> watchers;
    std::vector<router*> others;
    for (const auto& each : routers) {
        (platform.watched_at(each->ip()) > recently ? watchers : others).push_back(each.get());
    }
    if (watchers.size() != 3) {
        return could_not_run;
    }
    if (has_trouble()) {
        for (const router* const each : others) {
            platform.silence_connections(each->ip());
            log("the open connections of %s to the store go silent, new ones work", each->name().c_str());
        }
    }
    std::this_thread::sleep_for(stable_window + milliseconds{2500});
    bool is_down = has_trouble();
    const auto killed_at = clock::now();
    if (is_down) {
        for (router* const each : watchers) {
            each->send_signal(SIGKILL);
            log("%s is killed", each->name().c_str());
        }
        for (router* const each : watchers) {
            each->stop(SIGKILL);
        }
    }
    std::this_thread::sleep_for(milliseconds{100});
    platform.remove("servers/i-desk0");
    const auto acknowledged_at = clock::now();
    log("the entry of i-desk0 is removed, acknowledged");

    int served = 0;
    int broken = 0;
    milliseconds latest{0};
    for (int number = 0; clock::now() - acknowledged_at < linger; ++number) {
        if (is_down && clock::now() - killed_at >= down_time) {
            is_down = false;
            for (router* const each : watchers) {
                each->start();
                log("%s is started again", each->name().c_str());
            }
        }
        const router& other = *others[static_cast<std::size_t>(number) % others.size()];
        const std::string attempt = next_attempt();
        const auto sent_at = clock::now();
        auto caller = connection::open(other.front(), other.ip());
        if (!caller ||
            !caller->send(format("POST /puxa403/2f HTTP/1.1", client_fields(attempt, 1000), "order"))) {
            return could_not_run;
        }
        const auto answer = read_response(*caller, "POST", clock::now() + milliseconds{1500});
        served += answer.status() == 200 ? 1 : 0;
        const std::scoped_lock lock{seen.mutex};
        const std::string& ran_at = seen.run_by[attempt];
        const auto late = std::chrono::duration_cast<milliseconds>(sent_at - acknowledged_at);
        if (ran_at == "i-desk0") {
            latest = late;
            log("client sent %s to %s %lld ms after the acknowledgement, it ran at i-desk0", attempt.c_str(),
                other.name().c_str(), static_cast<long long>(late.count()));
            broken += late > drain_bound ? 1 : 0;
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    log("%d served; the last request to the leaving worker was sent %lld ms after its acknowledgement; %d "
        "later "
        "than drainMs",
        served, static_cast<long long>(latest.count()), broken);
    if (served < 50) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
