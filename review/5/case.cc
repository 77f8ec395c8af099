// A grey worker fails some of its requests with statuses that the router's HTTP library has
// no name for. The client must get the worker's status, or a failure without the worker's stamp.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr int requests = 120;
constexpr int grey_every = 3;

struct ledger {
    std::mutex mutex;
    std::map<std::string, int> status_of; ///< the worker's, by attempt
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
                static const std::vector<std::string> failures{"520 Web Server Returned an Unknown Error",
                                                               "529 Site is overloaded", "425 Too Early",
                                                               "418 I'm a teapot"};
                const std::string attempt = request.field("Citronwick-Attempt-Id");
                std::string status = "200 OK";
                {
                    const std::scoped_lock lock{seen.mutex};
                    const int number = ++*count;
                    if (is_grey && number % grey_every == 0) {
                        status = failures[static_cast<std::size_t>(number / grey_every) % failures.size()];
                    }
                    seen.status_of[attempt] = std::atoi(status.c_str());
                }
                std::this_thread::sleep_for(milliseconds{15});
                log("worker %s ran %s, answers %s", self.id().c_str(), attempt.c_str(), status.c_str());
                return self.answer(from, request, status, status == "200 OK" ? "booked" : "failed");
            }));
        workers.back()->register_at(platform);
    }
    platform.put("op/config", config_text(100, {{.prefix = "/puxa403/", .kind = "unsafe"}}, {}));
    router front{directory, "front-busan-a-1", platform.address()};
    if (!front.wait_until_ready()) {
        return could_not_run;
    }

    int broken = 0;
    int served = 0;
    for (int number = 0; number < requests; ++number) {
        const std::string attempt = next_attempt();
        auto caller = connection::open(front.front());
        if (!caller ||
            !caller->send(format("POST /puxa403/2f HTTP/1.1", client_fields(attempt, 1000), "order"))) {
            return could_not_run;
        }
        const auto answer = read_response(*caller, "POST", clock::now() + milliseconds{1500});
        const bool is_stamped = answer.has("Citronwick-Server-Stamp");
        const std::scoped_lock lock{seen.mutex};
        const auto found = seen.status_of.find(attempt);
        const int status_of_worker = found == seen.status_of.end() ? 0 : found->second;
        log("client sent %s, got \"%s\"%s", attempt.c_str(), answer.start_line.c_str(),
            is_stamped ? " with a worker's stamp" : "");
        served += answer.status() == 200 ? 1 : 0;
        if (is_stamped && answer.status() != status_of_worker) {
            ++broken;
            log("MIXED: %s bears the worker's stamp and status %d, the worker gave %d", attempt.c_str(),
                answer.status(), status_of_worker);
        }
        std::this_thread::sleep_for(milliseconds{25});
    }
    log("%d requests, %d served, %d with another status than the worker's", requests, served, broken);
    if (served < requests / 2) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
