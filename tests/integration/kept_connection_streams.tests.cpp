// Streams that follow each other on kept connections: each gets the events of its own response only,
// whatever a worker sends behind the end of the one before, and wherever callers leave.

#include "citronwick/io/task.hpp"
#include "kept_connection.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int events = 5;
constexpr unsigned ok = 200;
constexpr std::array paths{"/quote/stream/1", "/guide/stream/1"};

std::string event_of(const std::string& attempt, int id) {
    return "id: " + std::to_string(id) + "\ndata: " + attempt + "\n\n";
}

std::string body_of(const std::string& attempt, int first = 1) {
    std::string body;
    for (int id = first; id <= events; ++id) {
        body += event_of(attempt, id);
    }
    return body;
}

std::string chunk_of(const std::string& text) {
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.begin(), size.end(), text.size(), 16).ptr;
    return std::string(size.begin(), end) + "\r\n" + text + "\r\n";
}

/// A stream's header and the chunks of all of its events.
std::string whole_response(const std::string& header, const std::string& attempt) {
    return header + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
           chunk_of(body_of(attempt)) + "0\r\n\r\n";
}

std::string attempt_of(const std::string& request_header) {
    return field_of(request_header, "Citronwick-Attempt-Id");
}

std::string request_for(const std::string& path, const std::string& attempt) {
    return to_bytes({.method = "POST",
                     .target = path,
                     .headers = {{"Host", "shop.example"},
                                 {"X-Api-Key", "club-key"},
                                 {"Citronwick-Attempt-Id", attempt},
                                 {"Citronwick-Deadline-Ms", "2900"}}});
}

/// Whether a response is whole and its own, or tells of a failure.
bool is_own(const reply& answer, const std::string& attempt) {
    if (answer.status != ok) {
        return answer.status != 0 && answer.body.find("data: ") == std::string::npos;
    }
    const std::string own = body_of(attempt);
    return answer.error.empty() ? answer.body == own : own.starts_with(answer.body);
}

bool wait_streams_served(routed_fleet& system) {
    int asked = 0;
    return wait_until([&] {
        return std::ranges::all_of(paths, [&](const std::string& path) {
            return system.ask(system.routers()[0], path, "ready-" + std::to_string(asked++)).status == ok;
        });
    });
}

} // namespace

// Guards against bytes behind the end of a stream that are taken for part of the next one (ORDER, MIXED).
TEST_CASE("proof: what a worker sends behind the end of a stream reaches no other stream") {
    constexpr int streams = 6;
    struct fault {
        std::string name;
        std::function<std::string(const std::string& header)> behind_end;   ///< in the same segment
        std::function<std::string(const std::string& header)> later;        ///< while the connection is idle
        std::function<std::string(const std::string& previous)> in_between; ///< before the next response
    };
    const auto repeated = [](const std::string& header) {
        return whole_response(response_header(header), attempt_of(header));
    };
    const auto without_id = [](const std::string& stamp) {
        return [stamp](const std::string& header) {
            return whole_response("HTTP/1.1 200 OK\r\n" + stamp, attempt_of(header));
        };
    };
    const auto event_chunk = [](const std::string& header) {
        return chunk_of(event_of(attempt_of(header), 6));
    };
    const auto bare_event = [](const std::string& header) { return event_of(attempt_of(header), 6); };
    const std::vector<fault> faults{
        {"response behind the end", repeated, {}, {}},
        {"event behind the end", bare_event, {}, {}},
        {"chunk behind the end", event_chunk, {}, {}},
        {"response on the idle connection", {}, repeated, {}},
        {"event on the idle connection", {}, bare_event, {}},
        {"response before the next", {}, {}, repeated},
        {"signed response without id before the next", {}, {}, without_id("Citronwick-Server-Stamp: s\r\n")},
        {"response without id before the next", {}, {}, without_id("")},
        {"chunk before the next", {}, {}, event_chunk},
        {"event before the next", {}, {}, bare_event},
    };
    std::atomic<std::size_t> current = faults.size();
    std::atomic<int> reused = 0;
    scripted_worker worker{"burst", [&](asio::ip::tcp::socket& connection) {
                               std::string previous;
                               while (true) {
                                   const std::string header = read_request(connection);
                                   const std::size_t index = current;
                                   const fault played = index < faults.size() ? faults[index] : fault{};
                                   std::string bytes;
                                   if (!previous.empty()) {
                                       ++reused;
                                       bytes = played.in_between ? played.in_between(previous) : "";
                                   }
                                   bytes += whole_response(response_header(header), attempt_of(header));
                                   bytes += played.behind_end ? played.behind_end(header) : "";
                                   asio::write(connection, asio::buffer(bytes));
                                   if (played.later) {
                                       std::this_thread::sleep_for(5ms);
                                       const std::string late = played.later(header);
                                       asio::write(connection, asio::buffer(late));
                                   }
                                   previous = header;
                               }
                           }};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "bench");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_streams_served(system));
    for (std::size_t index = 0; index < faults.size(); ++index) {
        CAPTURE(faults[index].name);
        current = index;
        reused = 0;
        int whole = 0;
        for (const std::string path : paths) {
            kept_connection caller{system.routers()[0].address()};
            for (int count = 0; count < streams; ++count) {
                const std::string attempt = std::to_string(index) + path + std::to_string(count);
                const auto answer = caller.ask(request_for(path, attempt));
                CHECK_MESSAGE(is_own(answer, attempt), answer.body);
                whole += answer.status == ok && answer.error.empty() ? 1 : 0;
            }
        }
        CHECK(whole > 0);
        const bool is_seen_before_reuse = !faults[index].in_between;
        CHECK((is_seen_before_reuse || reused > 0));
    }
}

// Guards against events of a cancelled stream that reach the next one (ORDER).
TEST_CASE("proof: the events of a cancelled stream reach no stream that follows it") {
    constexpr int rounds = 10;
    scripted_worker worker{"burst", [](asio::ip::tcp::socket& connection) {
                               while (true) {
                                   const std::string header = read_request(connection);
                                   const std::string start = response_header(header) +
                                                             "Content-Type: text/event-stream\r\n" +
                                                             "Transfer-Encoding: chunked\r\n\r\n";
                                   asio::write(connection, asio::buffer(start));
                                   for (int id = 1; id <= events; ++id) {
                                       const std::string part = chunk_of(event_of(attempt_of(header), id));
                                       asio::write(connection, asio::buffer(part));
                                       std::this_thread::sleep_for(5ms);
                                   }
                                   asio::write(connection, asio::buffer("0\r\n\r\n", 5));
                               }
                           }};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "bench");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_streams_served(system));
    const node& router = system.routers()[0];
    for (const std::string path : paths) {
        for (int round = 0; round < rounds; ++round) {
            const std::string attempt = path + std::to_string(round);
            {
                kept_connection leaving{router.address()};
                REQUIRE(leaving.send(request_for(path, "left" + attempt)));
                std::this_thread::sleep_for(round * 3ms); // before, within and behind its events
            }
            kept_connection next{router.address()};
            for (const std::string name : {"first", "second"}) {
                const auto answer = next.ask(request_for(path, name + attempt));
                CHECK_MESSAGE(is_own(answer, name + attempt), answer.body);
                CHECK(answer.status == ok);
                CHECK(answer.error.empty());
            }
        }
    }
}

// Guards against streams of one caller that are joined or change places (ORDER, MIXED).
TEST_CASE("proof: pipelined streams of one caller are answered in order, each with its own events") {
    constexpr int streams = 8;
    scripted_worker worker{"burst", [](asio::ip::tcp::socket& connection) {
                               while (true) {
                                   const std::string header = read_request(connection);
                                   const std::string text =
                                       whole_response(response_header(header), attempt_of(header));
                                   asio::write(connection, asio::buffer(text));
                               }
                           }};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "bench");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_streams_served(system));
    kept_connection caller{system.routers()[0].address()};
    std::string requests;
    for (int index = 0; index < streams; ++index) {
        requests += request_for(paths.at(static_cast<std::size_t>(index) % paths.size()),
                                "p" + std::to_string(index));
    }
    REQUIRE(caller.send(requests));
    for (int index = 0; index < streams; ++index) {
        const std::string attempt = "p" + std::to_string(index);
        const auto answer = caller.read_reply();
        CHECK(answer.error.empty());
        CHECK(answer.header("Citronwick-Attempt-Id") == attempt);
        CHECK(answer.body == body_of(attempt));
    }
}
