// A leaving upstream gets no new work, and a planned stop interrupts no request in flight.

#include "chat.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Time after which a leaving upstream must get no new work.
constexpr auto max_time_to_stop_new_work = 5s;

std::int64_t runs_on(const node& engine) {
    return integer_member(stats(engine), "runs");
}

/// Callers that send requests until they are stopped. As behind a load
/// balancer, requests go only to routers that report ready.
class continuous_load {
public:
    continuous_load(fleet& system, std::size_t callers, bool bookings = false)
        : system_{system}, bookings_{bookings} {
        for (std::size_t index = 0; index < callers; ++index) {
            threads_.emplace_back([this, index] { send_requests(index); });
        }
    }
    ~continuous_load() { stop(); }

    void stop() {
        stop_ = true;
        threads_.clear();
    }

    int completed() const { return completed_; }
    int refused() const { return refused_; }
    int failed() const { return failed_; }
    std::string first_failure() const {
        const std::scoped_lock lock{mutex_};
        return first_failure_;
    }

private:
    void send_requests(std::size_t caller) {
        for (int turn = 0; !stop_; ++turn) {
            const auto router = next_ready_router();
            if (router) {
                send_request(*router, std::to_string(caller) + "-" + std::to_string(turn));
            }
        }
    }

    std::optional<endpoint> next_ready_router() {
        std::vector<std::pair<endpoint, endpoint>> routers;
        {
            const std::scoped_lock lock{fleet_mutex()};
            for (const auto& router : system_.routers()) {
                routers.emplace_back(router.operators(), router.callers());
            }
        }
        const auto& [operators, callers] = routers[next_++ % routers.size()];
        const bool ready = http_call(operators, {.target = "/readyz"}).status == 200;
        return ready ? std::optional{callers} : std::nullopt;
    }

    void send_request(const endpoint& router, const std::string& name) {
        if (bookings_) {
            const auto answer = http_call(
                router,
                {.method = "POST",
                 .target = "/services/shop-desk/bookings",
                 .body = "{}",
                 .headers = {{"Authorization", "Bearer " + team_key("club")}, {"Idempotency-Key", name}}});
            record(answer, answer.status == 201 && answer.error.empty());
        } else {
            const auto answer = chat(router, {.chat = "load-" + name, .tokens = 60});
            record(answer.raw, answer.is_complete(60));
        }
    }

    void record(const reply& answer, bool is_complete) {
        if (is_complete) {
            ++completed_;
        } else if (answer.header("Citronwick-Outcome") == "not-run") {
            ++refused_;
        } else {
            ++failed_;
            const std::scoped_lock lock{mutex_};
            first_failure_ =
                std::to_string(answer.status) + " " + answer.error + " " + answer.body.substr(0, 400);
        }
    }

public:
    /// Guards the fleet's list of routers while a test replaces them.
    static std::mutex& fleet_mutex() {
        static std::mutex mutex;
        return mutex;
    }

private:
    fleet& system_;
    bool bookings_;
    std::atomic<bool> stop_{false};
    std::atomic<int> completed_{0};
    std::atomic<int> refused_{0};
    std::atomic<int> failed_{0};
    std::atomic<std::size_t> next_{0};
    mutable std::mutex mutex_;
    std::string first_failure_;
    std::vector<std::jthread> threads_;
};

} // namespace

TEST_CASE("proof: an engine that leaves gets no new work after five seconds") {
    fleet system{{.routers = 3, .engines = 3, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    node& engine = system.engines().front();
    continuous_load load{system, 6};
    REQUIRE(wait_until([&] { return runs_on(engine) > 0; }));
    SUBCASE("as the VM list says") {
        engine.leaving = true;
        system.publish_vms();
    }
    SUBCASE("as its own health page says while the VM list is down") {
        set_fault(system.vm_list(), R"({"outage":1})");
        set_fault(engine, R"({"draining":1})");
    }
    SUBCASE("as an operator orders") {
        CHECK(system.ctl({"drain", engine.name}).exit == 0);
    }
    std::this_thread::sleep_for(max_time_to_stop_new_work);
    const auto after_limit = runs_on(engine);
    std::this_thread::sleep_for(1s);
    CHECK(runs_on(engine) == after_limit);
    load.stop();
    CAPTURE(load.first_failure());
    CHECK(load.failed() == 0);
    CHECK(load.refused() == 0);
    CHECK(load.completed() > 20);
}

TEST_CASE("proof: a router that missed the news learns that an engine leaves, and this is not undone") {
    fleet system{{.routers = 3, .engines = 2, .service_workers = 0}};
    REQUIRE(system.wait_ready());
    node& engine = system.engines().front();
    auto& frozen = system.routers()[2];
    frozen.process->signal(SIGSTOP);
    set_fault(system.vm_list(), R"({"outage":1})");
    set_fault(engine, R"({"draining":1})");
    const auto sees_leaving = [&](const router_node& router) {
        const auto seen = system.view(router);
        for (const auto& each : seen.at("services").as_object().at("citron-bench").as_array()) {
            if (string_member(each.as_object(), "name") == engine.name) {
                return string_member(each.as_object(), "state") == "leaving";
            }
        }
        return false;
    };
    CHECK(wait_until([&] { return sees_leaving(system.routers()[0]) && sees_leaving(system.routers()[1]); },
                     max_time_to_stop_new_work));
    frozen.process->signal(SIGCONT);
    CHECK(wait_until([&] { return sees_leaving(frozen); }, max_time_to_stop_new_work));
    set_fault(engine, "{}"); // the same incarnation reports healthy again; it still counts as leaving
    std::this_thread::sleep_for(3s);
    for (const auto& router : system.routers()) {
        CHECK(sees_leaving(router));
    }
}

TEST_CASE("proof: a router that stops cuts no request in flight") {
    fleet system{{.routers = 2, .engines = 3, .service_workers = 2}};
    REQUIRE(system.wait_ready());
    auto& stopping = system.routers()[0];
    for (const node& worker : system.workers()) {
        set_fault(worker, R"({"answer_delay_ms":1500})");
    }
    std::vector<std::future<std::string>> calls; // error text, empty for a complete response
    for (int index = 0; index < 10; ++index) {
        calls.push_back(std::async(std::launch::async, [&, index] {
            const auto answer =
                chat(stopping.callers(), {.chat = "c" + std::to_string(index), .tokens = 700});
            return answer.is_complete(700) ? "" : answer.raw.error + answer.raw.body.substr(0, 300);
        }));
        calls.push_back(std::async(std::launch::async, [&, index] {
            const auto answer = http_call(stopping.callers(),
                                          {.method = "POST",
                                           .target = "/services/shop-desk/bookings",
                                           .headers = {{"Authorization", "Bearer " + team_key("club")},
                                                       {"Idempotency-Key", "k" + std::to_string(index)}}});
            return answer.status == 201 && answer.error.empty() ? "" : answer.error + answer.body;
        }));
    }
    REQUIRE(wait_until([&] { return integer_member(system.view(stopping), "requests_in_flight") == 20; }));
    stopping.process->signal(SIGTERM);
    REQUIRE(wait_until([&] { return http_call(stopping.operators(), {.target = "/readyz"}).status == 503; }));
    stopping.process->signal(SIGTERM); // a second signal changes nothing
    for (auto& each : calls) {
        CHECK(each.get() == "");
    }
    CHECK(stopping.process->wait(10s).value_or(-1) == 0);
}

TEST_CASE("proof: replacing all routers one by one under load interrupts no request") {
    fleet system{{.routers = 6, .engines = 4, .service_workers = 2}};
    REQUIRE(system.wait_ready());
    continuous_load chats{system, 6};
    continuous_load bookings{system, 3, true};
    for (std::size_t turn = 0; turn < 6; ++turn) {
        auto& oldest = system.routers()[turn];
        oldest.process->signal(SIGTERM);
        CHECK(oldest.process->wait(20s) == 0);
        const std::scoped_lock lock{continuous_load::fleet_mutex()};
        system.restart_router(oldest);
    }
    chats.stop();
    bookings.stop();
    CAPTURE(chats.first_failure());
    CAPTURE(bookings.first_failure());
    CHECK(chats.failed() == 0);
    CHECK(bookings.failed() == 0);
    CHECK(chats.completed() > 50);
    CHECK(bookings.completed() > 50);
}
