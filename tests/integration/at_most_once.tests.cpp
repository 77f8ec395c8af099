// A non-idempotent operation (booking, work order, permit) runs at most once.

#include "fleet.hpp"
#include "waiting.hpp"

#include "citronwick/io/json_text.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <numeric>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

call booking(const std::string& key, std::string body = R"({"cup":"silver"})") {
    return {.method = "POST",
            .target = "/services/shop-desk/bookings",
            .body = std::move(body),
            .headers = {{"Authorization", "Bearer " + team_key("club")}, {"Idempotency-Key", key}}};
}

std::int64_t runs_on(const node& worker, const std::string& key) {
    const auto answer = http_call(worker.addresses.front(), {.target = "/standin/runs"});
    const auto page = parse_json_object(answer.body).value_or(boost::json::object{});
    const auto* const runs = object_member(page, "runs");
    return runs == nullptr ? 0 : integer_member(*runs, key);
}

/// Number of times an operation ran, over all workers.
std::int64_t runs_of(fleet& system, const std::string& key) {
    const auto& workers = system.workers();
    return std::accumulate(workers.begin(), workers.end(), std::int64_t{0},
                           [&](std::int64_t sum, const node& worker) { return sum + runs_on(worker, key); });
}

/// Checks that the operation ran at most once, and that it ran if the response
/// reports it as complete.
void check_outcome(fleet& system, const reply& answer, const std::string& key) {
    const std::string outcome = answer.header("Citronwick-Outcome");
    const auto runs = runs_of(system, key);
    CAPTURE(outcome);
    CAPTURE(answer.body);
    CHECK(runs <= 1);
    if (outcome == "complete") {
        CHECK(runs == 1);
    }
}

void set_fault_on_workers(fleet& system, const std::string& fault) {
    for (const node& worker : system.workers()) {
        set_fault(worker, fault);
    }
}

fleet_options small_fleet(bool proxies = false) {
    return {.routers = 3,
            .engines = 1,
            .service_workers = 2,
            .proxies = proxies,
            .service = "idempotency_key = \"required\"",
            .platform_settings = "timeout = \"400ms\""};
}

} // namespace

TEST_CASE("proof: a booking resent through any router runs once") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    const auto first = http_call(system.routers()[0].callers(), booking("b1"));
    CHECK(first.status == 201);
    const auto replayed = http_call(system.routers()[0].callers(), booking("b1"));
    CHECK(replayed.status == 201);
    CHECK(replayed.body == first.body);
    CHECK(replayed.header("Citronwick-Replayed") == "yes");
    const auto through_other_router = http_call(system.routers()[1].callers(), booking("b1"));
    check_outcome(system, through_other_router, "b1");
    CHECK(through_other_router.body == first.body);
    const auto with_other_body = http_call(system.routers()[1].callers(), booking("b1", R"({"cup":"gold"})"));
    CHECK(with_other_body.status == 422);
    CHECK(with_other_body.header("Citronwick-Outcome") == "not-run");
    CHECK(runs_of(system, "b1") == 1);
}

TEST_CASE("proof: resends at the same instant run once") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    set_fault_on_workers(system, R"({"answer_delay_ms":100})");
    std::vector<std::future<reply>> calls;
    for (int index = 0; index < 12; ++index) {
        const auto& router = system.routers()[static_cast<std::size_t>(index) % 3];
        calls.push_back(
            std::async(std::launch::async, [&] { return http_call(router.callers(), booking("b2")); }));
    }
    for (auto& pending : calls) {
        const auto answer = pending.get();
        check_outcome(system, answer, "b2");
        CHECK(answer.header("Citronwick-Outcome") != "not-run");
    }
    CHECK(runs_of(system, "b2") == 1);
}

TEST_CASE("proof: a booking whose answer is lost is reported as unknown and never runs again") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    set_fault_on_workers(system, R"({"drop_answers":1})");
    const auto first = http_call(system.routers()[0].callers(), booking("b3"));
    CHECK(first.header("Citronwick-Outcome") == "unknown");
    set_fault_on_workers(system, "{}");
    for (const auto& router : system.routers()) {
        CHECK(http_call(router.callers(), booking("b3")).header("Citronwick-Outcome") == "unknown");
    }
    CHECK(runs_of(system, "b3") == 1);
}

TEST_CASE("proof: a killed claimant's booking never runs again") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    auto& claimant = system.routers()[0];
    const auto check_others_report_unknown = [&](const std::string& key) {
        for (const std::size_t index : {std::size_t{1}, std::size_t{2}}) {
            const auto answer = http_call(system.routers()[index].callers(), booking(key));
            CHECK(answer.header("Citronwick-Outcome") == "unknown");
        }
        CHECK(runs_of(system, key) <= 1);
    };
    SUBCASE("while the booking runs") {
        set_fault_on_workers(system, R"({"answer_delay_ms":700})");
        auto call =
            std::async(std::launch::async, [&] { return http_call(claimant.callers(), booking("b4")); });
        REQUIRE(wait_until([&] { return runs_of(system, "b4") == 1; }));
        claimant.process->kill();
        CHECK(call.get().status == 0);
        check_others_report_unknown("b4");
    }
    SUBCASE("after the booking ran") {
        CHECK(http_call(claimant.callers(), booking("b5")).status == 201);
        claimant.process->kill();
        check_others_report_unknown("b5");
    }
}

TEST_CASE("proof: a claim whose answer is lost is settled before anything is sent") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    CHECK(http_call(system.routers()[0].callers(), booking("warm")).status == 201);
    set_fault(system.key_value(), R"({"lose_answers":1})");
    const auto first = http_call(system.routers()[0].callers(), booking("b6"));
    check_outcome(system, first, "b6");
    CHECK(first.header("Citronwick-Outcome") == "complete");
    const auto second = http_call(system.routers()[1].callers(), booking("b6"));
    check_outcome(system, second, "b6");
    CHECK(runs_of(system, "b6") == 1);
}

TEST_CASE("proof: without the key-value service a booking is refused and does not run") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    const auto check_refused_as_not_run = [&](const std::string& key) {
        const auto answer = http_call(system.routers()[0].callers(), booking(key));
        CHECK(answer.status == 503);
        CHECK(answer.header("Citronwick-Outcome") == "not-run");
        CHECK_FALSE(answer.header("Retry-After").empty());
        CHECK(runs_of(system, key) == 0);
    };
    SUBCASE("when it is down") {
        set_fault(system.key_value(), R"({"outage":1})");
        check_refused_as_not_run("b7");
    }
    SUBCASE("when it is silent") {
        set_fault(system.key_value(), R"({"silence":1})");
        check_refused_as_not_run("b7");
    }
    SUBCASE("when it is slower than the timeout") {
        set_fault(system.key_value(), R"({"delay_ms":900})");
        check_refused_as_not_run("b7");
    }
    set_fault(system.key_value(), "{}");
    const auto status = http_call(system.routers()[0].callers(),
                                  {.target = "/services/shop-desk/bookings/b7",
                                   .headers = {{"Authorization", "Bearer " + team_key("club")}}});
    CHECK(status.status == 200);
    const auto later = http_call(system.routers()[1].callers(), booking("b7"));
    check_outcome(system, later, "b7");
}

TEST_CASE("proof: a claimant frozen past its lease sends nothing when it wakes") {
    bool write_times_out = false;
    SUBCASE("and has the response to its claim") {}
    SUBCASE("and the write of its claim has timed out") {
        write_times_out = true;
    }
    auto options = small_fleet(true);
    const std::string timeout = write_times_out ? "6s" : "60s";
    options.platform_settings = "timeout = \"" + timeout + "\"\nclaim_lifetime = \"4s\"";
    fleet system{options};
    REQUIRE(system.wait_ready());
    auto& claimant = system.routers()[0];
    CHECK(http_call(claimant.callers(), booking("warm")).status == 201);
    const auto keys = [&] { return integer_member(stats(system.key_value()), "keys"); };
    const auto before = keys();
    set_proxy_fault(system.key_value(), R"({"hold_answers":1})"); // it cannot send before it is frozen
    auto call = std::async(std::launch::async, [&] { return http_call(claimant.callers(), booking("b8")); });
    REQUIRE(wait_until([&] { return keys() > before; }));
    REQUIRE(claimant.process->pause());
    const std::string silenced = R"({"silenced_sources":[")" + claimant.source_address + R"("]})";
    set_proxy_fault(system.key_value(), write_times_out ? silenced : "{}");
    REQUIRE(wait_until([&] { return keys() < before; }, 20s)); // the lease of both claims has ended
    const auto resent = http_call(system.routers()[1].callers(), booking("b8"));
    claimant.process->signal(SIGCONT);
    const auto woken = call.get();
    CAPTURE(woken.body);
    CAPTURE(resent.body);
    CHECK(resent.header("Citronwick-Outcome") == "complete");
    CHECK(runs_of(system, "b8") == 1);
    const auto lines = [&](const char* text) { return system.log_lines(claimant, text).size(); };
    if (write_times_out) {
        CHECK(woken.header("Citronwick-Outcome") == "complete");
        CHECK(woken.header("Citronwick-Replayed") == "yes");
        CHECK(woken.body == resent.body);
        CHECK(lines("event=claim_write_unanswered") == 1);
    } else {
        CHECK(woken.header("Citronwick-Outcome") == "not-run");
        CHECK(woken.body.find("the claim's lease has ended") != std::string::npos);
        CHECK(lines("event=claim_write_unanswered") == 0);
    }
}

TEST_CASE("proof: an upstream that answers after the timeout runs a booking once") {
    auto options = small_fleet();
    options.preset = "first_byte_timeout = \"200ms\"";
    fleet system{options};
    REQUIRE(system.wait_ready());
    set_fault_on_workers(system, R"({"answer_delay_ms":600})");
    const auto late = http_call(system.routers()[0].callers(), booking("b9"));
    CHECK(late.header("Citronwick-Outcome") == "unknown");
    CHECK(http_call(system.routers()[0].callers(), booking("b9")).header("Citronwick-Outcome") == "unknown");
    CHECK(wait_until([&] { return runs_of(system, "b9") == 1; }));
    CHECK(runs_of(system, "b9") == 1);
}

TEST_CASE("proof: a booking is sent to another upstream only if no byte of it has left") {
    fleet system{small_fleet()};
    REQUIRE(system.wait_ready());
    system.workers()[0].process->kill();
    for (int index = 0; index < 6; ++index) {
        const std::string key = "b10-" + std::to_string(index);
        const auto answer = http_call(system.routers()[0].callers(), booking(key));
        CHECK(answer.header("Citronwick-Outcome") == "complete");
        CHECK(runs_on(system.workers()[1], key) == 1);
    }
    system.workers()[1].process->kill();
    const auto refused = http_call(system.routers()[0].callers(), booking("b11"));
    CHECK(refused.header("Citronwick-Outcome") == "not-run");
}
