// Workers write "id:N", as text/event-stream allows. When one of them resets a resumable
// stream midway, the router doesn't know the last event and has the stream begin anew at
// another worker, within the same response: the client gets pieces twice.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr int streams = 30;
constexpr int events = 12;
constexpr int lost_every = 5; ///< x = 0.2 of the answers of the workers concerned

struct ledger {
    std::mutex mutex;
    std::map<std::string, std::string> runs_of; ///< worker and first event of each run, by attempt
};

std::string event(int id) {
    const std::string number = std::to_string(id);
    return "id:" + number + "\ndata:piece " + number + "\n\n";
}

std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

bool run_stream(record& log, ledger& seen, worker& self, connection& from, const message& request,
                bool is_lost) {
    const std::string attempt = request.field("Citronwick-Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    log("worker %s runs %s, Last-Event-Id \"%s\"", self.id().c_str(), attempt.c_str(), last.c_str());
    {
        const std::scoped_lock lock{seen.mutex};
        seen.runs_of[attempt] += " " + self.id() + " from " + std::to_string(first);
    }
    auto fields = self.fields(request);
    fields.emplace_back("Content-Type", "text/event-stream");
    fields.emplace_back("Transfer-Encoding", "chunked");
    if (!from.send(format("HTTP/1.1 200 OK", fields, "", false))) {
        return false;
    }
    for (int id = first; id <= events; ++id) {
        std::this_thread::sleep_for(milliseconds{10});
        if (is_lost && id == events / 2) {
            log("worker %s resets %s after event %d", self.id().c_str(), attempt.c_str(), id - 1);
            std::this_thread::sleep_for(milliseconds{20});
            from.reset();
            return false;
        }
        if (!from.send(chunk(event(id)))) {
            return false;
        }
    }
    return from.send("0\r\n\r\n");
}

/// The ids of the events of a response.
std::vector<int> ids_of(const std::string& body) {
    std::vector<int> ids;
    for (std::size_t at = body.find("id:"); at != std::string::npos; at = body.find("id:", at + 1)) {
        ids.push_back(std::atoi(body.c_str() + at + 3));
    }
    return ids;
}

int run(record& log, const std::string& directory) {
    auto& platform = *new store;
    auto& seen = *new ledger;
    auto& workers = *new std::vector<std::unique_ptr<worker>>;
    for (int index = 0; index < 4; ++index) {
        const bool loses = has_trouble() && index < 2;
        auto count = std::make_shared<std::atomic<int>>(0);
        workers.push_back(std::make_unique<worker>(
            log, "i-bench" + std::to_string(index), "citron-bench",
            [&log, &seen, loses, count](worker& self, connection& from, const message& request) {
                const bool is_lost = loses && ++*count % lost_every == 0;
                return run_stream(log, seen, self, from, request, is_lost);
            }));
        workers.back()->register_at(platform);
    }
    platform.put("op/config", config_text(100,
                                          {{.prefix = "/lohu930/",
                                            .kind = "streaming",
                                            .service = "citron-bench",
                                            .attempts = 2,
                                            .timeout_ms = 4000,
                                            .target_ms = 600,
                                            .resume = true}},
                                          {}));
    router front{directory, "front-busan-a-1", platform.address()};
    if (!front.wait_until_ready()) {
        return could_not_run;
    }
    std::this_thread::sleep_for(std::chrono::seconds{2}); // the streams' versions get assigned

    int whole = 0;
    int broken = 0;
    for (int number = 0; number < streams; ++number) {
        const std::string attempt = next_attempt();
        auto fields = client_fields(attempt, 4000);
        fields.emplace_back("Citronwick-Model", "m");
        fields.emplace_back("Citronwick-Token-Counts", "1460,80");
        fields.emplace_back("Citronwick-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," + attempt + ":250");
        auto caller = connection::open(front.front());
        if (!caller || !caller->send(format("POST /lohu930/2f HTTP/1.1", fields, "prompt"))) {
            return could_not_run;
        }
        const auto answer = read_response(*caller, "POST", clock::now() + std::chrono::seconds{5});
        const auto ids = ids_of(answer.body);
        std::string text;
        bool is_in_order = true;
        for (std::size_t index = 0; index < ids.size(); ++index) {
            text += " " + std::to_string(ids[index]);
            is_in_order = is_in_order && ids[index] == static_cast<int>(index) + 1;
        }
        log("client sent %s, got %d, %s, events%s", attempt.c_str(), answer.status(),
            answer.is_whole ? "complete" : "broken off", text.c_str());
        whole += answer.status() == 200 && answer.is_whole ? 1 : 0;
        if (answer.status() == 200 && (!is_in_order || (answer.is_whole && ids.size() != events))) {
            ++broken;
            const std::scoped_lock lock{seen.mutex};
            log("ORDER: pieces are missing or come twice in %s; its runs:%s", attempt.c_str(),
                seen.runs_of[attempt].c_str());
        }
    }
    log("%d streams, %d complete, %d with pieces missing or twice", streams, whole, broken);
    if (whole < streams / 2) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
