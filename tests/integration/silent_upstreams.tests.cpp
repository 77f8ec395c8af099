// A sound upstream may fall silent for a second or so and go on, which ends nothing.

#include "citronwick/core/time.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/task.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <linux/filter.h>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr const char* six_events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
                                   "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n";

/// Moments of an exchange at which a connection falls silent: in the request, behind it, and in the
/// header, the body and at the end of the response.
constexpr std::array moments{
    R"("silent_after_up":0)",     R"("silent_after_up":90)",    R"("silent_after_down":0)",
    R"("silent_after_down":60)",  R"("silent_after_down":215)", R"("silent_after_down":260)",
    R"("silent_after_down":330)",
};

/// Listens at an address, and drops all packets that come there.
class silent_listener {
public:
    explicit silent_listener(const std::string& name) {
        sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop_all};
        ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
        entry_.name = name;
        entry_.addresses = {to_endpoint(acceptor_.local_endpoint())};
    }

    const node& entry() const { return entry_; }

private:
    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    node entry_;
};

/// A request that is under way.
struct asked {
    std::string path;
    std::string attempt;
    std::future<reply> answer;
};

/// Sends a request with the longest time that its route allows.
reply ask(const endpoint& router, const std::string& path, const std::string& attempt,
          const std::string& body) {
    return http_call(router, {.method = path.starts_with("/read/") ? "GET" : "POST",
                              .target = path,
                              .body = body,
                              .headers = {{"Host", "shop.example"},
                                          {"X-Api-Key", "club-key"},
                                          {"Citronwick-Attempt-Id", attempt},
                                          {"Citronwick-Deadline-Ms", "3000"}}});
}

std::vector<asked> ask_all(routed_fleet& system, const std::string& name, bool is_long) {
    std::vector<asked> all;
    for (const std::string path : {"/read/1", "/book/1", "/quote/stream/1", "/guide/stream/1"}) {
        const std::string attempt = name + path;
        const std::string body(is_long && path == "/book/1" ? 60'000 : 0, 'x');
        all.push_back(
            {path, attempt,
             std::async(std::launch::async, ask, system.routers()[0].address(), path, attempt, body)});
    }
    return all;
}

bool is_whole(const reply& answer, bool is_stream) {
    return answer.status == 200 && answer.error.empty() && (!is_stream || answer.body == six_events);
}

/// Whether a stream's events are the first ones of a sound run, and all of them if it ended as complete.
bool is_in_order(const reply& answer) {
    const std::string all{six_events};
    return answer.status != 200 ||
           (all.starts_with(answer.body) && (!answer.error.empty() || answer.body == all));
}

/// Asks for one response of each kind while connections to upstreams fall silent.
/// @param ends_nothing whether all responses must be whole
void check_silence(routed_fleet& system, std::chrono::milliseconds silence, bool ends_nothing) {
    for (const char* const moment : moments) {
        const std::string fault = "{\"silence_ms\":" + std::to_string(silence.count()) + "," + moment + "}";
        CAPTURE(fault);
        for (const auto* const workers : {&system.plain_workers(), &system.engines()}) {
            std::ranges::for_each(*workers, [&](const node& each) { set_proxy_fault(each, fault); });
        }
        const auto begin = clock::now();
        for (asked& each : ask_all(system, fault, moment == moments.at(1))) {
            const reply answer = each.answer.get();
            CAPTURE(each.path);
            CAPTURE(answer.status);
            CAPTURE(answer.body);
            const bool is_stream = each.path.find("/stream/") != std::string::npos;
            const bool is_repeatable = each.path.starts_with("/read/") || each.path.starts_with("/quote/");
            const auto runs =
                runs_of(system.plain_workers(), each.attempt) + runs_of(system.engines(), each.attempt);
            CHECK((!is_stream || is_in_order(answer)));
            CHECK((is_repeatable || runs <= 1));
            CHECK((!ends_nothing || is_whole(answer, is_stream)));
            const bool promises_not_run = answer.status == 503 || answer.status == 429;
            CHECK((is_repeatable || !promises_not_run || runs == 0));
        }
        CHECK(clock::now() - begin >= silence);
    }
}

} // namespace

// Guards against responses of sound upstreams that are cut, joined or repeated by a silence.
TEST_CASE("proof: an upstream that is silent for up to 1.5 s at any moment of an exchange ends nothing") {
    routed_fleet system{{.routers = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    check_silence(system, 500ms, true);
    check_silence(system, 1'500ms, true);
}

TEST_CASE("proof: a longer silence runs nothing twice and puts no stream out of order") {
    routed_fleet system{{.routers = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    check_silence(system, 2'500ms, false);
}

// Guards against repeatable requests that are given up although there is no repeat left for them.
TEST_CASE("proof: a repeatable request whose response is overdue is waited for if it cannot be repeated") {
    constexpr int requests = 60; // more than the retry budget allows to repeat
    routed_fleet system{{.routers = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    for (const node& worker : system.plain_workers()) {
        set_proxy_fault(worker, R"({"silence_ms":1200,"silent_after_up":0})");
    }
    const endpoint router = system.routers()[0].address();
    std::vector<std::future<reply>> answers;
    for (int count = 0; count < requests; ++count) {
        answers.push_back(
            std::async(std::launch::async, ask, router, "/read/1", "r" + std::to_string(count), ""));
    }
    const auto whole =
        std::ranges::count_if(answers, [](std::future<reply>& each) { return is_whole(each.get(), false); });
    CHECK(whole == requests);
}

// Guards against repeatable requests that are given up although no other upstream is left for them.
TEST_CASE("proof: a repeatable request whose response is overdue is waited for if no upstream is left") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    set_proxy_fault(system.plain_workers()[0], R"({"silence_ms":1200,"silent_after_up":0})");
    CHECK(is_whole(ask(system.routers()[0].address(), "/read/1", "only", ""), false));
}

// Guards against repeatable requests that are given up for a repeat that reaches no upstream.
TEST_CASE("proof: an overdue response is waited for if no connection to another upstream can be opened") {
    const silent_listener listener{"desk-silent"};
    routed_fleet system{{.routers = 1, .plain_workers = 1, .proxies = true}};
    REQUIRE(system.wait_ready());
    system.register_worker(listener.entry(), "desk");
    const auto knows_both = [&] {
        const auto seen = system.view(system.routers()[0]);
        const auto* const services = object_member(seen, "services");
        return services != nullptr && services->contains("desk") &&
               services->at("desk").as_array().size() == 2;
    };
    REQUIRE(wait_until(knows_both));
    set_proxy_fault(system.plain_workers()[0], R"({"silence_ms":1200,"silent_after_up":0})");
    const endpoint router = system.routers()[0].address();
    for (int round = 0; round < 3; ++round) {
        std::vector<std::future<reply>> answers;
        for (int count = 0; count < 4; ++count) {
            const std::string attempt = std::to_string(round) + "-" + std::to_string(count);
            answers.push_back(std::async(std::launch::async, ask, router, "/read/1", attempt, ""));
        }
        for (std::future<reply>& each : answers) {
            const reply answer = each.get();
            CAPTURE(answer.body);
            CHECK(is_whole(answer, false));
        }
    }
}
