// A grey worker runs bookings and answers some of them 429 or 408, without
// Citronwick-Not-Run. The router must not pass these statuses on: they promise the client
// that the booking has not run, and the client sends it again.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr int bookings = 120;
constexpr int grey_every = 3; ///< x = 0.33 of the grey worker's answers

struct ledger {
    std::mutex mutex;
    std::map<std::string, std::string> run_by; ///< attempt: worker
    std::map<std::string, int> runs_of_order;
};

int run(record& log, const std::string& directory) {
    auto& platform = *new store;
    auto& seen = *new ledger;
    auto& workers = *new std::vector<std::unique_ptr<worker>>;
    for (int index = 0; index < 3; ++index) {
        const bool is_grey = has_trouble() && index == 0;
        auto count = std::make_shared<int>(0);
        workers.push_back(std::make_unique<worker>(
            log, "i-desk" + std::to_string(index), "shop-desk",
            [&log, &seen, is_grey, count](worker& self, connection& from, const message& request) {
                const std::string attempt = request.field("Citronwick-Attempt-Id");
                bool fails = false;
                int number = 0;
                {
                    const std::scoped_lock lock{seen.mutex};
                    seen.run_by[attempt] = self.id();
                    ++seen.runs_of_order[request.body];
                    number = ++*count;
                    fails = is_grey && number % grey_every == 0;
                }
                std::this_thread::sleep_for(milliseconds{15});
                const char* const status = !fails                           ? "200 OK"
                                           : number % (2 * grey_every) == 0 ? "429 Too Many Requests"
                                                                            : "408 Request Timeout";
                log("worker %s ran %s (%s), answers %s", self.id().c_str(), attempt.c_str(),
                    request.body.c_str(), status);
                return self.answer(from, request, status, fails ? "failed" : "booked");
            }));
        workers.back()->register_at(platform);
    }
    platform.put("op/config", config_text(100, {{.prefix = "/puxa403/", .kind = "unsafe"}}, {}));
    router front{directory, "front-busan-a-1", platform.address()};
    if (!front.wait_until_ready()) {
        return could_not_run;
    }

    std::set<std::string> promised; // attempts answered with a status that promises "not run"
    for (int order = 0; order < bookings; ++order) {
        const std::string body = "order-" + std::to_string(order);
        // A client repeats an unsafe request once, and only after a promise.
        for (int attempt_number = 0; attempt_number < 2; ++attempt_number) {
            const std::string attempt = next_attempt();
            auto caller = connection::open(front.front());
            if (!caller ||
                !caller->send(format("POST /puxa403/2f HTTP/1.1", client_fields(attempt, 1000), body))) {
                return could_not_run;
            }
            const auto answer = read_response(*caller, "POST", clock::now() + milliseconds{1500});
            const int status = answer.status();
            log("client sent %s (%s), got %d%s", attempt.c_str(), body.c_str(), status,
                answer.has("Citronwick-Server-Stamp") ? " with a worker's stamp" : "");
            if (status != 429 && status != 503 && status != 408 && status != 421) {
                break;
            }
            promised.insert(attempt);
        }
        std::this_thread::sleep_for(milliseconds{30});
    }

    const std::scoped_lock lock{seen.mutex};
    int broken = 0;
    for (const std::string& attempt : promised) {
        if (const auto found = seen.run_by.find(attempt); found != seen.run_by.end()) {
            ++broken;
            log("REFUSED: %s was answered as not run, and ran at %s", attempt.c_str(), found->second.c_str());
        }
    }
    int doubled = 0;
    for (const auto& [order, runs] : seen.runs_of_order) {
        doubled += runs > 1 ? 1 : 0;
    }
    log("%d bookings, %d attempts refused after they had run, %d bookings run twice", bookings, broken,
        doubled);
    if (seen.runs_of_order.size() < bookings / 2) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
