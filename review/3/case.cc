// Clients ask with HEAD on kept connections. A key is taken away from one of them; the
// router refuses its HEAD with a body, which a response to HEAD never has. The client then
// takes that body for the beginning of the next answer on the connection.

#include "../support/worker.h"

namespace {

using namespace review;

constexpr int rounds = 20;

/// One client with a connection that it keeps. Its requests use the key that its user has.
struct client {
    std::unique_ptr<connection> kept;
    int broken = 0;
    int answered = 0;
};

/// Sends a request and checks what comes back.
void ask(record& log, client& self, const std::string& method, const std::string& key, std::uint16_t port) {
    const std::string attempt = next_attempt();
    if (!self.kept) {
        self.kept = connection::open(port);
    }
    if (!self.kept ||
        !self.kept->send(format(method + " /cufi504/fi50/2f HTTP/1.1", client_fields(attempt, 1000, key), "", false))) {
        log("client could not send %s", attempt.c_str());
        self.kept.reset();
        return;
    }
    const auto answer = read_response(*self.kept, method, clock::now() + milliseconds{1500});
    log("client sent %s %s with %s, got \"%s\"", method.c_str(), attempt.c_str(), key.c_str(),
        answer.start_line.c_str());
    if (answer.has_header && answer.status() == 0) {
        ++self.broken;
        log("MIXED: these bytes are no answer in the protocol (%s)", attempt.c_str());
    }
    const std::string echoed = answer.field("Citronwick-Attempt-Id");
    if (answer.status() == 200 && echoed != attempt) {
        ++self.broken;
        log("MIXED: the answer to %s belongs to %s", attempt.c_str(), echoed.c_str());
    }
    self.answered += answer.status() != 0 ? 1 : 0;
    if (!answer.is_whole || answer.status() == 0 || same_name(answer.field("Connection"), "close")) {
        self.kept.reset();
    }
}

int run(record& log, const std::string& directory) {
    auto& platform = *new store;
    auto& workers = *new std::vector<std::unique_ptr<worker>>;
    for (int index = 0; index < 3; ++index) {
        workers.push_back(std::make_unique<worker>(
            log, "i-desk" + std::to_string(index), "shop-desk",
            [&log](worker& self, connection& from, const message& request) {
                log("worker %s ran %s %s", self.id().c_str(), request.method().c_str(),
                    request.field("Citronwick-Attempt-Id").c_str());
                return self.answer(from, request, "200 OK", "status: ready for pickup");
            }));
        workers.back()->register_at(platform);
    }
    const std::vector<route_options> routes{{.prefix = "/cufi504/", .kind = "safe", .attempts = 2}};
    platform.put("op/config", config_text(100, routes, {{"hule930", {"key-one", "key-two"}}}));
    router front{directory, "front-busan-a-1", platform.address()};
    if (!front.wait_until_ready()) {
        return could_not_run;
    }

    client desk;
    for (int round = 0; round < rounds; ++round) {
        if (round == rounds / 2 && has_trouble()) {
            platform.put("op/config", config_text(107, routes, {{"hule930", {"key-one"}}}));
            log("operator took key-two away, acknowledged");
            std::this_thread::sleep_for(milliseconds{2500}); // configurationApplyMs and a little
        }
        // Two users share the connection of one client program.
        ask(log, desk, "HEAD", "key-two", front.front());
        ask(log, desk, "GET", "key-one", front.front());
        std::this_thread::sleep_for(milliseconds{100});
    }
    log("%d requests, %d answers in the protocol, %d others", 2 * rounds, desk.answered, desk.broken);
    if (desk.answered < rounds) {
        return could_not_run;
    }
    return desk.broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
