// Workers that send the copy of a refusal where a later response is due.

#include "citronwick/io/task.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr unsigned ok = 200;

std::string attempt_of(const std::string& request_header) {
    return field_of(request_header, "Citronwick-Attempt-Id");
}

/// Counts runs by attempt identifier.
class run_counter {
public:
    void record(const std::string& attempt) {
        const std::scoped_lock lock{mutex_};
        ++runs_[attempt];
    }

    int runs_of(const std::string& attempt) {
        const std::scoped_lock lock{mutex_};
        return runs_[attempt];
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

/// Writes the refusal of a request.
using refusal_writer = std::function<std::string(const std::string& request_header)>;

std::string misdirected_without_id(const std::string& /*request_header*/) {
    return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
}

std::string refusal_with_id(const std::string& request_header) {
    return "HTTP/1.1 503 Service Unavailable\r\nCitronwick-Not-Run: 1\r\nCitronwick-Attempt-Id: " +
           attempt_of(request_header) + "\r\nContent-Length: 0\r\n\r\n";
}

/// Refuses every other request of a connection, and sends a copy of the refusal before the next response.
scripted_worker::script copy_refusals(run_counter& runs, std::atomic<int>& refusals, refusal_writer refusal) {
    return [&runs, &refusals, refusal = std::move(refusal)](asio::ip::tcp::socket& connection) {
        while (true) {
            const std::string refused = read_request(connection);
            ++refusals;
            asio::write(connection, asio::buffer(refusal(refused)));
            const std::string header = read_request(connection);
            runs.record(attempt_of(header));
            asio::write(connection, asio::buffer(refusal(refused)));
            const std::string event = "id: 1\ndata: done\n\n";
            const std::string answer =
                response_header(header) +
                "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(event.size()) +
                "\r\n\r\n" + event;
            asio::write(connection, asio::buffer(answer));
        }
    };
}

/// Waits until the router sends requests to the workers.
bool wait_until_used(routed_fleet& system, const std::atomic<int>& refusals,
                     const std::string& path = "/book/1") {
    int asked = 0;
    return system.wait_ready() && wait_until([&] {
               system.ask(system.routers()[0], path, "ready-" + std::to_string(asked++));
               return refusals > 0;
           });
}

} // namespace

TEST_CASE("proof: a booking that runs is not taken for refused because of the copy of another refusal") {
    constexpr int bookings = 40;
    for (const refusal_writer refusal : {misdirected_without_id, refusal_with_id}) {
        run_counter runs;
        std::atomic<int> refusals = 0;
        std::vector<std::unique_ptr<scripted_worker>> workers;
        routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
        for (const std::string name : {"desk-a", "desk-b"}) {
            workers.push_back(
                std::make_unique<scripted_worker>(name, copy_refusals(runs, refusals, refusal)));
            system.register_worker(workers.back()->entry(), "desk");
        }
        REQUIRE(wait_until_used(system, refusals));
        for (int index = 0; index < bookings; ++index) {
            const std::string attempt = "booking-" + std::to_string(index);
            const auto answer = system.ask(system.routers()[0], "/book/1", attempt);
            CAPTURE(attempt);
            CHECK(runs.runs_of(attempt) <= 1);
            CHECK((answer.status != 503 || runs.runs_of(attempt) == 0));
        }
    }
}

TEST_CASE("proof: the copy of a refusal is not believed if the request goes to the same address again") {
    constexpr int bookings = 20;
    run_counter runs;
    std::atomic<int> refusals = 0;
    const scripted_worker worker{"desk-a", copy_refusals(runs, refusals, refusal_with_id)};
    node renamed{.name = "desk-b"};
    renamed.addresses = worker.entry().addresses;
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "desk");
    system.register_worker(renamed, "desk");
    REQUIRE(wait_until_used(system, refusals));
    for (int index = 0; index < bookings; ++index) {
        const std::string attempt = "booking-" + std::to_string(index);
        const auto answer = system.ask(system.routers()[0], "/book/1", attempt);
        CAPTURE(attempt);
        CHECK(runs.runs_of(attempt) <= 1);
        CHECK((answer.status != 503 || runs.runs_of(attempt) == 0));
    }
}

TEST_CASE("proof: a stream that runs is not taken for refused because of the copy of another refusal") {
    constexpr int streams = 30;
    for (const refusal_writer refusal : {misdirected_without_id, refusal_with_id}) {
        run_counter runs;
        std::atomic<int> refusals = 0;
        std::vector<std::unique_ptr<scripted_worker>> workers;
        routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
        for (const std::string name : {"bench-a", "bench-b", "bench-c"}) {
            workers.push_back(
                std::make_unique<scripted_worker>(name, copy_refusals(runs, refusals, refusal)));
            system.register_worker(workers.back()->entry(), "bench");
        }
        REQUIRE(wait_until_used(system, refusals, "/guide/stream/1"));
        for (const std::string path : {"/guide/stream/", "/quote/stream/"}) {
            for (int index = 0; index < streams; ++index) {
                const std::string attempt = path + std::to_string(index);
                const auto answer = system.ask(system.routers()[0], path + "1", attempt);
                CAPTURE(attempt);
                CHECK(runs.runs_of(attempt) <= 1);
                CHECK((answer.status != 503 || runs.runs_of(attempt) == 0));
            }
        }
    }
}
