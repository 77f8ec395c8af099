// Workers that send responses which callers must not get as the responses to their requests.

#include "citronwick/io/task.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr unsigned ok = 200;

/// Attempts to which a worker has written their own successful responses.
class answered_attempts {
public:
    void record(const std::string& request_header) {
        const std::scoped_lock lock{mutex_};
        attempts_.insert(field_of(request_header, "Citronwick-Attempt-Id"));
    }
    bool contains(const std::string& attempt) {
        const std::scoped_lock lock{mutex_};
        return attempts_.contains(attempt);
    }

private:
    std::mutex mutex_;
    std::set<std::string> attempts_;
};

std::string failure_of(const std::string& request_header) {
    return "HTTP/1.1 500 Internal Server Error\r\nCitronwick-Server-Stamp: stamp.scripted\r\n"
           "Citronwick-Attempt-Id: " +
           field_of(request_header, "Citronwick-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
}

/// Fails every other request of a connection, and sends a copy of the failure before the next response.
scripted_worker::script copy_failures(answered_attempts& answered) {
    return [&answered](asio::ip::tcp::socket& connection) {
        while (true) {
            const std::string failed = read_request(connection);
            asio::write(connection, asio::buffer(failure_of(failed)));
            const std::string header = read_request(connection);
            answered.record(header);
            const std::string answer = response_header(header) + "Content-Length: 4\r\n\r\ndone";
            asio::write(connection, asio::buffer(failure_of(failed) + answer));
        }
    };
}

/// Sends a copy of the last response to HEAD before the next one, whose header is as long as the copy's
/// length field says, and whose body reads like a response.
void copy_head_responses(asio::ip::tcp::socket& connection) {
    std::string last_head;
    while (true) {
        const std::string header = read_request(connection);
        if (header.starts_with("HEAD ")) {
            last_head = response_header(header);
            asio::write(connection, asio::buffer(last_head + "Content-Length: 4\r\n\r\n"));
            continue;
        }
        const std::string body = response_header(header) + "Content-Length: 6\r\n\r\nwithin";
        const std::string start =
            response_header(header) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        std::string bytes;
        if (!last_head.empty()) {
            bytes = last_head + "Content-Length: " + std::to_string(start.size()) + "\r\n\r\n";
        }
        bytes.append(start).append(body);
        asio::write(connection, asio::buffer(bytes));
    }
}

} // namespace

TEST_CASE("proof: the copy of a failure is not believed if the request goes to the same address again") {
    constexpr int reads = 20;
    answered_attempts answered;
    const scripted_worker worker{"desk-a", copy_failures(answered)};
    node renamed{.name = "desk-b"};
    renamed.addresses = worker.entry().addresses;
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "desk");
    system.register_worker(renamed, "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] { return system.ask(system.routers()[0], "/read/1", "ready").status != 503; }));
    for (int index = 0; index < reads; ++index) {
        const std::string attempt = "read-" + std::to_string(index);
        const auto answer = system.ask(system.routers()[0], "/read/1", attempt);
        CAPTURE(attempt);
        CHECK((answer.status == ok || !answered.contains(attempt)));
    }
}

TEST_CASE("proof: part of a body is not taken for a response behind the copy of a response to HEAD") {
    constexpr int bookings = 20;
    const scripted_worker worker{"desk-a", &copy_head_responses};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "desk");
    REQUIRE(system.wait_ready());
    const node& router = system.routers()[0];
    const auto ask_head = [&](const std::string& attempt) {
        return http_call(router.addresses.front(), {.method = "HEAD",
                                                    .target = "/book/1",
                                                    .headers = {{"Host", "shop.example"},
                                                                {"X-Api-Key", "club-key"},
                                                                {"Citronwick-Attempt-Id", attempt},
                                                                {"Citronwick-Deadline-Ms", "2000"}}})
            .status;
    };
    REQUIRE(wait_until([&] { return ask_head("ready") == ok; }));
    for (int index = 0; index < bookings; ++index) {
        for (const std::string name : {"head-a-", "head-b-"}) { // each thread has its own connections
            CHECK(ask_head(name + std::to_string(index)) == ok);
        }
        const auto answer = system.ask(router, "/book/1", "booking-" + std::to_string(index));
        CHECK(answer.body != "within");
        CHECK((answer.status == ok || answer.status == 502));
    }
}
