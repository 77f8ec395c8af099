// Callers on kept connections account for the end of each of their requests while a fault is repeated.

#include "kept_connection.hpp"
#include "routed_fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// End of a request as its caller saw it.
enum class request_end : std::uint8_t {
    complete,
    refused,   ///< the response promises that it has not run
    failed,    ///< a response that says that it may have run
    cut,       ///< a response began and did not end
    no_answer, ///< the connection ended without a byte of a response
};

request_end end_of(const reply& answer) {
    constexpr std::array<unsigned, 4> refusals{408, 421, 429, 503};
    constexpr unsigned ok = 200;
    if (!answer.error.empty()) {
        return answer.status == 0 ? request_end::no_answer : request_end::cut;
    }
    if (answer.status == ok) {
        return request_end::complete;
    }
    return std::ranges::find(refusals, answer.status) != refusals.end() ? request_end::refused
                                                                        : request_end::failed;
}

/// Callers that use their open connections until a router has closed them, and open new
/// ones until it takes no more.
class accounted_callers {
public:
    accounted_callers(const node& router, std::size_t callers, const std::string& round) : router_{router} {
        for (std::size_t index = 0; index < callers; ++index) {
            threads_.emplace_back(
                [this, name = round + "-" + std::to_string(index)] { send_requests(name); });
        }
    }
    ~accounted_callers() { stop(); }

    void stop() {
        stop_ = true;
        threads_.clear();
    }

    std::size_t count(request_end end) const {
        const std::scoped_lock lock{mutex_};
        const auto found = ends_.find(end);
        return found == ends_.end() ? 0 : found->second.size();
    }

    /// Requests that reached a worker and ended without a complete response.
    std::vector<std::string> lost(routed_fleet& system) const {
        const std::scoped_lock lock{mutex_};
        std::vector<std::string> names;
        for (const auto end : {request_end::cut, request_end::no_answer}) {
            const auto found = ends_.find(end);
            if (found != ends_.end()) {
                std::ranges::copy_if(found->second, std::back_inserter(names), [&](const std::string& name) {
                    return end == request_end::cut || runs_of(system.plain_workers(), name) > 0 ||
                           runs_of(system.engines(), name) > 0;
                });
            }
        }
        return names;
    }

    /// Counts by end, for the test's output.
    std::string summary() const {
        return "complete " + std::to_string(count(request_end::complete)) + ", refused " +
               std::to_string(count(request_end::refused)) + ", failed " +
               std::to_string(count(request_end::failed)) + ", cut " +
               std::to_string(count(request_end::cut)) + ", no answer " +
               std::to_string(count(request_end::no_answer));
    }

private:
    void send_requests(const std::string& name) {
        constexpr std::array paths{"/read/1", "/book/1", "/quote/stream/1", "/guide/stream/1"};
        std::unique_ptr<kept_connection> connection;
        for (std::size_t turn = 0; !stop_; ++turn) {
            try {
                if (!connection) {
                    connection = std::make_unique<kept_connection>(router_.address());
                }
            } catch (const boost::system::system_error&) {
                return; // the listener is closed
            }
            const std::string path = paths.at(turn % paths.size());
            const std::string attempt = name + "-" + std::to_string(turn);
            const auto answer = connection->ask(to_bytes({.method = path == "/read/1" ? "GET" : "POST",
                                                          .target = path,
                                                          .headers = {{"Host", "shop.example"},
                                                                      {"X-Api-Key", "club-key"},
                                                                      {"Citronwick-Attempt-Id", attempt},
                                                                      {"Citronwick-Deadline-Ms", "2900"}}}));
            const std::scoped_lock lock{mutex_};
            ends_[end_of(answer)].push_back(attempt);
            if (!answer.error.empty() || answer.header("Connection") == "close") {
                connection.reset();
            }
        }
    }

    const node& router_;
    std::atomic<bool> stop_{false};
    mutable std::mutex mutex_;
    std::map<request_end, std::vector<std::string>> ends_;
    std::vector<std::jthread> threads_;
};

/// Lets a process run for a quarter of the time, until it ends or the time is over.
void run_slowed(const node& target, std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (target.process->is_running() && std::chrono::steady_clock::now() < end) {
        target.process->signal(SIGSTOP);
        std::this_thread::sleep_for(75ms);
        target.process->signal(SIGCONT);
        std::this_thread::sleep_for(25ms);
    }
}

template <class Action>
void repeat(Action action, std::chrono::milliseconds pause, std::size_t times) {
    for (std::size_t count = 0; count < times; ++count) {
        action(count);
        std::this_thread::sleep_for(pause);
    }
}

constexpr std::size_t caller_count = 8;

void check_none_lost(routed_fleet& system, accounted_callers& callers) {
    callers.stop();
    const auto summary = callers.summary();
    CAPTURE(summary);
    const auto lost = callers.lost(system);
    CAPTURE(lost.empty() ? std::string{} : lost.front());
    CHECK(lost.empty());
    CHECK(callers.count(request_end::complete) >= caller_count);
}

} // namespace

TEST_CASE("proof: no request that reached a worker is lost at a planned stop") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    node& router = system.routers().front();
    for (int round = 0; round < 3; ++round) {
        accounted_callers callers{router, caller_count, "stop-" + std::to_string(round)};
        REQUIRE(wait_until([&] { return callers.count(request_end::complete) >= caller_count; }));
        router.process->signal(SIGTERM);
        if (round == 2) {
            run_slowed(router, 20s);
        }
        CHECK(router.process->wait(20s) == 0);
        check_none_lost(system, callers);
        CHECK(callers.count(request_end::no_answer) == 0);
        system.restart_router(router);
        REQUIRE(system.wait_ready());
    }
}

TEST_CASE("proof: no request that reached a worker is lost while a router is disturbed") {
    routed_fleet system{{.routers = 1, .plain_workers = 3, .engines = 3}};
    REQUIRE(system.wait_ready());
    node& router = system.routers().front();
    accounted_callers callers{router, caller_count, "d"};
    SUBCASE("by changes of its settings") {
        repeat([&](std::size_t) { router.process->signal(SIGHUP); }, 10ms, 200);
    }
    SUBCASE("by configurations") {
        repeat([&](std::size_t count) { system.declare({"club-key"}, count % 3); }, 40ms, 50);
    }
    SUBCASE("by workers that leave and come back") {
        repeat(
            [&](std::size_t count) {
                const std::string state = count % 2 == 0 ? "draining" : "ready";
                const auto incarnation = static_cast<std::int64_t>(count + 2);
                system.register_worker(system.plain_workers()[0], "desk", state, incarnation);
                system.register_worker(system.engines()[0], "bench", state, incarnation);
            },
            100ms, 20);
    }
    SUBCASE("by a lack of processor time") {
        run_slowed(router, 3s);
    }
    check_none_lost(system, callers);
    CHECK(router.process->is_running());
}
