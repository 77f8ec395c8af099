// Limits on what a process may use: descriptors and memory.

#include "citronwick/core/time.hpp"
#include "citronwick/io/json_text.hpp"
#include "held_callers.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <future>
#include <iterator>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Processor time that a process has used.
std::chrono::milliseconds processor_time(const node& target) {
    constexpr std::size_t utime_after_name = 11;
    std::ifstream file{"/proc/" + std::to_string(target.process->id()) + "/stat"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    std::istringstream fields{text.substr(text.rfind(')') + 1)};
    std::string skipped;
    for (std::size_t index = 0; index < utime_after_name; ++index) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds{(user + system) * 1'000 / ::sysconf(_SC_CLK_TCK)};
}

/// Largest resident memory that a process has had.
std::int64_t peak_memory_kb(const node& target) {
    std::ifstream status{"/proc/" + std::to_string(target.process->id()) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoll(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

/// Changes the number of descriptors that a process may open.
void set_descriptor_limit(const node& target, rlim_t soft, rlim_t hard) {
    const rlimit limit{soft, hard};
    REQUIRE(::prlimit(target.process->id(), RLIMIT_NOFILE, &limit, nullptr) == 0);
}

} // namespace

TEST_CASE("proof: a router that cannot open descriptors does not spin, and accepts callers once it can") {
    constexpr rlim_t descriptors = 1'000;
    constexpr rlim_t few_descriptors = 64;
    constexpr std::size_t callers = 100;
    routed_fleet system{
        {.routers = 1, .plain_workers = 1, .engines = 1, .router_process = {.max_descriptors = descriptors}}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    set_descriptor_limit(router, few_descriptors, descriptors);
    const held_callers held{router.address(), callers, ""};
    const held_callers held_pages{router.addresses.at(1), 1, ""};
    const auto used_before = processor_time(router);
    constexpr std::chrono::milliseconds observed = 2s;
    std::this_thread::sleep_for(observed);
    CHECK(processor_time(router) - used_before < observed / 4);
    const auto lines = find_log_lines(router, "accept_failed");
    CHECK_FALSE(lines.empty());
    CHECK(std::ranges::count_if(lines, [](const std::string& line) {
              return line.find("listener=callers") != std::string::npos;
          }) <= 5);
    set_descriptor_limit(router, descriptors, descriptors);
    CHECK(system.ask(router, "/read/1", "after").status == 200);
}

TEST_CASE("proof: callers beyond the limit are refused whole and at once, and those below it are served") {
    constexpr std::size_t callers = 300;
    constexpr rlim_t descriptors = 200;
    const std::string request = "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
                                "Citronwick-Attempt-Id: a1\r\nCitronwick-Deadline-Ms: 2000\r\n\r\n";
    routed_fleet system{
        {.routers = 1, .plain_workers = 1, .engines = 1, .router_process = {.max_descriptors = descriptors}}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    held_callers held{router.address(), callers, request};
    const auto answers = held.answers();
    const auto served = std::ranges::count_if(
        answers, [](const std::string& answer) { return answer.starts_with("HTTP/1.1 200"); });
    const auto refused = std::ranges::count_if(answers, [](const std::string& answer) {
        return answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After: ") != std::string::npos &&
               answer.find("Citronwick-Outcome: not-run") != std::string::npos;
    });
    CHECK(served > 0);
    CHECK(refused > 0);
    CHECK(served + refused == callers);
    // Callers that stay connected take no descriptors that the operators' pages need.
    CHECK(http_call(router.addresses.at(1), {.target = "/healthz", .timeout = 2s}).status == 200);
}

TEST_CASE(
    "proof: a request that finds no descriptor for its upstream is refused, and the upstream is not blamed") {
    constexpr rlim_t descriptors = 1'000;
    routed_fleet system{
        {.routers = 1, .plain_workers = 1, .engines = 1, .router_process = {.max_descriptors = descriptors}}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    constexpr std::size_t callers = 20;
    const std::string request = "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
                                "Citronwick-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\n";
    held_callers held{router.address(), callers, request};
    const auto is_reading = [&] {
        return integer_member(system.view(router), "requests_in_flight") == callers;
    };
    REQUIRE(wait_until(is_reading));
    constexpr rlim_t no_descriptors = 8; // fewer than are open
    set_descriptor_limit(router, no_descriptors, descriptors);
    held.send("body");
    for (const std::string& answer : held.answers()) {
        CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
        CHECK_MESSAGE(answer.find("no-descriptors") != std::string::npos, answer);
        CHECK_MESSAGE(answer.find("Citronwick-Outcome: not-run") != std::string::npos, answer);
    }
    set_descriptor_limit(router, descriptors, descriptors);
    CHECK(system.ask(router, "/book/1", "after").status == 200);
    CHECK(runs_of(system.plain_workers(), "a1") == 0);
}

TEST_CASE("proof: unfinished bodies stay within the memory of the process, and small requests are answered "
          "meanwhile") {
    std::int64_t memory_mb = 256; // the default
    SUBCASE("the memory of the default") {}
    SUBCASE("half of it") {
        memory_mb = 128;
    }
    constexpr std::size_t callers = 600;
    constexpr std::size_t sent_bytes = 1'000'000;
    routed_fleet system{{.routers = 1,
                         .plain_workers = 1,
                         .engines = 1,
                         .limit_settings = "memory_mb = " + std::to_string(memory_mb) + "\n",
                         .body_bytes = 2 * sent_bytes}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    const std::string unfinished = "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
                                   "Citronwick-Attempt-Id: a1\r\nContent-Length: 1500000\r\n\r\n" +
                                   std::string(sent_bytes, 'x');
    held_callers held{router.address(), callers, unfinished};
    auto answers = std::async(std::launch::async, [&] { return held.answers(6s); });
    int asked = 0;
    while (answers.wait_for(100ms) != std::future_status::ready) {
        const auto answer = system.ask(router, "/read/1", "small-" + std::to_string(asked++), {}, "small");
        CHECK_MESSAGE(answer.status == 200, answer.body);
    }
    CHECK(asked > 0);
    CHECK(peak_memory_kb(router) < memory_mb * 1'024);
    const auto texts = answers.get();
    const auto refused = std::ranges::count_if(texts, [](const std::string& answer) {
        return answer.starts_with("HTTP/1.1 503") && answer.find("memory-limit") != std::string::npos &&
               answer.find("Retry-After: ") != std::string::npos &&
               answer.find("Citronwick-Outcome: not-run") != std::string::npos;
    });
    CHECK(refused > 0);
    CHECK(runs_of(system.plain_workers(), "a1") == 0);
}

TEST_CASE("proof: responses that do not fit the memory of the process end as unknown, and never as not run") {
    constexpr std::int64_t memory_mb = 72;
    constexpr std::size_t callers = 40; // 640 MB at the largest size of one response
    routed_fleet system{{.routers = 1,
                         .plain_workers = 1,
                         .engines = 1,
                         .limit_settings = "memory_mb = " + std::to_string(memory_mb) + "\n"}};
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    set_faults(system.plain_workers(), R"({"mode":"endless_body"})");
    held_callers held{router.address(), callers,
                      "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
                      "Citronwick-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"};
    for (const std::string& answer : held.answers()) {
        CHECK_MESSAGE((answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504")), answer);
        CHECK_MESSAGE(answer.find("Citronwick-Outcome: unknown") != std::string::npos, answer);
    }
    CHECK_FALSE(find_log_lines(router, "buffer response body").empty());
    CHECK(peak_memory_kb(router) < memory_mb * 1'024);
    set_faults(system.plain_workers(), "{}");
    CHECK(system.ask(router, "/book/1", "after").status == 200);
}
