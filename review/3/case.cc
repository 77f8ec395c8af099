// A worker answers before it has read a long body, keeps the connection and reads on. The
// router closes the connection as soon as it has the answer, and the rest of the body is lost.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr int uploads = 6;
constexpr std::size_t body_bytes = 4'000'000; // below bodyBytes

struct ledger {
    std::mutex mutex;
    std::map<std::string, std::size_t> bytes_of; ///< of the body that arrived, by attempt
};

int run(record& log, const std::string& directory) {
    auto& platform = *new store;
    auto& seen = *new ledger;
    // Reads requests itself, as it answers before the body is in.
    auto& listener = *new int{open_bound(SOCK_STREAM)};
    const int window = 4'096; // links have small windows
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    listen(listener, 64);
    std::thread{[&] {
        while (true) {
            const int opened = accept(listener, nullptr, nullptr);
            std::thread{[&log, &seen, opened] {
                connection from{opened};
                while (true) {
                    message request;
                    const auto far = clock::now() + std::chrono::minutes{1};
                    if (!read_header(from, request, far)) {
                        return;
                    }
                    const std::string attempt = request.field("Citronwick-Attempt-Id");
                    const auto length = std::stoul(request.field("Content-Length"));
                    const auto answer = [&] {
                        log("worker answers %s", attempt.c_str());
                        return from.send(format("HTTP/1.1 200 OK",
                                                {{"Citronwick-Attempt-Id", attempt},
                                                 {"Citronwick-Server-Stamp", "stamp.i-desk0"},
                                                 {"Citronwick-Server-Load", "1,0,6"}},
                                                "accepted"));
                    };
                    if (has_trouble() && !answer()) {
                        return;
                    }
                    if (has_trouble()) {
                        std::this_thread::sleep_for(milliseconds{300});
                    }
                    take(from, length, request.body, far);
                    const auto arrived = request.body.empty() ? from.buffer.size() : request.body.size();
                    log("worker has %zu of %zu bytes of the body of %s", arrived, length, attempt.c_str());
                    {
                        const std::scoped_lock lock{seen.mutex};
                        seen.bytes_of[attempt] = arrived;
                    }
                    if (arrived < length || (!has_trouble() && !answer())) {
                        return;
                    }
                }
            }}.detach();
        }
    }}.detach();
    platform.put("servers/i-desk0",
                 entry_text("shop-desk", std::string{loopback} + ":" + std::to_string(port_of(listener)), "ready", 1));
    platform.put("op/config", config_text(100, {{.prefix = "/puxa403/", .kind = "unsafe", .timeout_ms = 5000}}, {}));
    router front{directory, "front-busan-a-1", platform.address()};
    if (!front.wait_until_ready()) {
        return could_not_run;
    }

    std::vector<std::string> accepted;
    for (int number = 0; number < uploads; ++number) {
        const std::string attempt = next_attempt();
        auto caller = connection::open(front.front());
        if (!caller || !caller->send(format("POST /puxa403/2f HTTP/1.1", client_fields(attempt, 5000),
                                            std::string(body_bytes, 'x')))) {
            return could_not_run;
        }
        const auto answer = read_response(*caller, "POST", clock::now() + std::chrono::seconds{6});
        log("client sent %s with %zu bytes, got %d%s", attempt.c_str(), body_bytes, answer.status(),
            answer.has("Citronwick-Server-Stamp") ? " with a worker's stamp" : "");
        if (answer.status() == 200) {
            accepted.push_back(attempt);
        }
        std::this_thread::sleep_for(milliseconds{600});
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});

    const std::scoped_lock lock{seen.mutex};
    int broken = 0;
    for (const std::string& attempt : accepted) {
        if (seen.bytes_of[attempt] != body_bytes) {
            ++broken;
            log("UNASKED: %s ran with a changed body: %zu of %zu bytes", attempt.c_str(), seen.bytes_of[attempt],
                body_bytes);
        }
    }
    log("%zu of %d uploads answered 200, %d of them without their whole body", accepted.size(), uploads, broken);
    if (accepted.empty()) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
