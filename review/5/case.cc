// A key goes over from one tenant to another while the store is silent for a router. On a
// route that allows anonymous requests the router goes on naming the first to the workers.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr milliseconds revoke_bound{5000}; // revokeMs
constexpr milliseconds cut_time{9000};     // for_s = 9.0

struct ledger {
    std::mutex mutex;
    std::map<std::string, std::string> tenant_of; ///< Citronwick-Tenant at the worker, by attempt
};

int run(record& log, const std::string& directory) {
    auto& platform = *new store;
    auto& seen = *new ledger;
    auto& workers = *new std::vector<std::unique_ptr<worker>>;
    for (int index = 0; index < 3; ++index) {
        workers.push_back(std::make_unique<worker>(
            log, "i-desk" + std::to_string(index), "shop-desk",
            [&log, &seen](worker& self, connection& from, const message& request) {
                const std::string attempt = request.field("Citronwick-Attempt-Id");
                const std::string tenant_name = request.field("Citronwick-Tenant");
                {
                    const std::scoped_lock lock{seen.mutex};
                    seen.tenant_of[attempt] = tenant_name;
                }
                log("worker %s ran %s for tenant \"%s\"", self.id().c_str(), attempt.c_str(), tenant_name.c_str());
                return self.answer(from, request, "200 OK", "status: ready for pickup");
            }));
        workers.back()->register_at(platform);
    }
    const std::vector<route_options> routes{{.prefix = "/cufi504/", .kind = "safe", .attempts = 2, .anonymous = true}};
    platform.put("op/config", config_text(100, routes, {{"hule930", {"key-one", "key-two"}}}));
    router front{directory, "front-ulsan-c-1", platform.address()};
    if (!front.wait_until_ready()) {
        return could_not_run;
    }

    int broken = 0;
    int served = 0;
    const auto ask = [&](std::optional<clock::time_point> acknowledged_at) {
        const std::string attempt = next_attempt();
        const auto sent_at = clock::now();
        auto caller = connection::open(front.front());
        if (!caller || !caller->send(format("GET /cufi504/fi50/2f HTTP/1.1",
                                            client_fields(attempt, 1000, "key-two"), "", false))) {
            return;
        }
        const auto answer = read_response(*caller, "GET", clock::now() + milliseconds{1500});
        const std::scoped_lock lock{seen.mutex};
        const auto found = seen.tenant_of.find(attempt);
        log("client sent %s with key-two, got %d", attempt.c_str(), answer.status());
        served += answer.status() == 200 ? 1 : 0;
        if (acknowledged_at && sent_at - *acknowledged_at > revoke_bound && found != seen.tenant_of.end() &&
            found->second != "dano415") {
            ++broken;
            log("UNASKED: %s ran for tenant \"%s\", and dano415 has held the key for %.1f s", attempt.c_str(),
                found->second.c_str(), std::chrono::duration<double>{sent_at - *acknowledged_at}.count());
        }
    };
    for (int number = 0; number < 10; ++number) {
        ask({});
        std::this_thread::sleep_for(milliseconds{100});
    }
    if (has_trouble()) {
        platform.cut(true);
        log("the store is silent for the router");
    }
    const auto cut_at = clock::now();
    std::this_thread::sleep_for(milliseconds{300});
    platform.put("op/config", config_text(107, routes, {{"hule930", {"key-one"}}, {"dano415", {"key-two"}}}));
    const auto acknowledged_at = clock::now();
    log("operator took key-two from hule930 and gave it to dano415, acknowledged");
    while (clock::now() - cut_at < cut_time) {
        ask(acknowledged_at);
        std::this_thread::sleep_for(milliseconds{200});
    }
    platform.cut(false);
    log("%d requests served, %d for another tenant than the key's", served, broken);
    if (served < 10) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
