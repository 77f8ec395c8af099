// The events of a stream reach its caller once each and in order, and it ends as complete only
// behind its last event, whatever the workers and the router's memory do.

#include "citronwick/io/json_text.hpp"
#include "citronwick/io/task.hpp"
#include "held_callers.hpp"
#include "kept_connection.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "upstream_cuts.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 12;
constexpr int stand_in_events = 6;

/// Identifiers of the events of a response, in the order in which they came.
std::vector<int> event_ids(const std::string& body) {
    constexpr std::string_view field = "id: ";
    std::vector<int> ids;
    for (auto at = body.find(field); at != std::string::npos; at = body.find(field, at + 1)) {
        ids.push_back(std::stoi(body.substr(at + field.size())));
    }
    return ids;
}

/// Whether the events are 1, 2, 3 and so on, and a response that ended as complete has them all.
bool is_in_order(const reply& answer, int last_event) {
    constexpr unsigned ok = 200;
    if (answer.status != ok) {
        return answer.body.find("id: ") == std::string::npos;
    }
    const auto ids = event_ids(answer.body);
    std::vector<int> expected(ids.size());
    std::iota(expected.begin(), expected.end(), 1);
    return ids == expected && (!answer.error.empty() || ids.size() == static_cast<std::size_t>(last_event));
}

std::string joined(const std::vector<int>& ids) {
    return std::accumulate(ids.begin(), ids.end(), std::string{}, [](std::string text, int id) {
        text += " " + std::to_string(id);
        return text;
    });
}

/// Asks for streams and checks each.
/// @return how many were whole
int ask_for_streams(routed_fleet& system, const std::string& path, int last_event) {
    int whole = 0;
    for (int count = 0; count < streams; ++count) {
        const auto answer = system.ask(system.routers()[0], path, path + std::to_string(count));
        CHECK_MESSAGE(is_in_order(answer, last_event), joined(event_ids(answer.body)));
        whole += answer.status == 200 && answer.error.empty() ? 1 : 0;
    }
    return whole;
}

/// Waits until a router's log, which is written with a delay, has a line that contains all texts.
bool wait_logged(const node& router, const std::vector<std::string>& texts) {
    return wait_until([&] {
        return std::ranges::any_of(find_log_lines(router, texts.front()), [&](const std::string& line) {
            return std::ranges::all_of(
                texts, [&line](const std::string& text) { return line.find(text) != std::string::npos; });
        });
    });
}

/// Waits until streams of both kinds are served.
bool wait_streams_served(routed_fleet& system) {
    return wait_until([&] {
        return std::ranges::all_of(
            std::array{"/quote/stream/ready", "/guide/stream/ready"}, [&](const char* path) {
                static int asked = 0;
                return system.ask(system.routers()[0], path, "ready-" + std::to_string(asked++)).status ==
                       200;
            });
    });
}

/// Workers state the start that their entries have, and send streams without length or chunks.
constexpr const char* sends_unframed = R"({"born":1,"framing":"none","event_gap_ms":40})";

/// Asks for a stream that may be resumed, and kills the worker that runs it behind its first events.
/// @return what the caller of the stream got
reply kill_under_stream(routed_fleet& system) {
    auto asked = std::async(std::launch::async, [&system] {
        return system.ask(system.routers()[0], "/quote/stream/killed", "killed");
    });
    auto& engines = system.engines();
    const auto runs_it = [](const node& engine) { return runs_of(engine, "killed") > 0; };
    REQUIRE(wait_until([&] { return std::ranges::any_of(engines, runs_it); }));
    std::this_thread::sleep_for(100ms);
    std::ranges::find_if(engines, runs_it)->process->kill();
    return asked.get();
}

/// Removes the entry of the worker whose process has ended. Its relay accepts requests and closes their
/// connections.
void unregister_killed(routed_fleet& system) {
    const auto& engines = system.engines();
    const auto is_killed = [](const node& engine) { return !engine.process->is_running(); };
    system.unregister_worker(*std::ranges::find_if(engines, is_killed));
    REQUIRE(wait_until([&] {
        return system.view(system.routers()[0]).at("services").at("bench").as_array().size() ==
               engines.size() - 1;
    }));
}

/// Asks for streams that may not be resumed, all of which must be whole.
void check_all_whole(routed_fleet& system, const std::string& name) {
    const std::string path = "/guide/stream/" + name;
    CHECK(ask_for_streams(system, path, stand_in_events) == streams);
}

} // namespace

// Guards against events that are dropped for lack of memory and that the next run does not repeat (ORDER).
TEST_CASE("proof: a stream loses no event while other callers use up the router's memory") {
    constexpr int last_event = 60;
    constexpr std::size_t event_bytes = 300;
    routed_fleet system{{.routers = 1, .engines = 0, .limit_settings = "memory_mb = 64\n"}};
    std::atomic<bool> may_send = true;
    // The first part of a first run ends within an event, which the router has to keep.
    const auto serve = [&](asio::ip::tcp::socket& connection) {
        const std::string header = read_request(connection);
        const std::string last = field_of(header, "Last-Event-Id");
        std::string events;
        std::vector<std::size_t> part_ends;
        for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= last_event; ++id) {
            events += "id: " + std::to_string(id) + "\ndata: " + std::string(event_bytes, 'x') + "\n\n";
            part_ends.push_back(events.size());
        }
        if (last.empty()) {
            part_ends = {events.size() / 2 - event_bytes / 2, events.size()};
        }
        wait_until([&] { return may_send.load(); });
        const std::string start = response_header(header) + "Content-Type: text/event-stream\r\n" +
                                  "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n";
        asio::write(connection, asio::buffer(start));
        std::size_t sent = 0;
        for (const std::size_t end : part_ends) {
            std::this_thread::sleep_for(5ms);
            asio::write(connection, asio::buffer(events.substr(sent, end - sent)));
            sent = end;
        }
    };
    std::vector<std::unique_ptr<scripted_worker>> workers;
    for (const char* const name : {"burst-0", "burst-1", "burst-2"}) {
        workers.push_back(std::make_unique<scripted_worker>(name, serve));
        system.register_worker(workers.back()->entry(), "bench");
    }
    REQUIRE(wait_streams_served(system));
    const node& router = system.routers()[0];
    const auto ask = [&](const std::string& attempt) {
        return std::async(std::launch::async, [&system, &router, attempt] {
            return system.ask(router, "/quote/stream/1", attempt, {}, std::string(10'000, 'p'));
        });
    };
    CHECK(event_ids(ask("free").get().body).size() == last_event);
    may_send = false;
    std::vector<std::future<reply>> answers;
    for (int count = 0; count < streams; ++count) {
        answers.push_back(ask("full-" + std::to_string(count)));
    }
    REQUIRE(wait_until([&] { return integer_member(system.view(router), "requests_in_flight") == streams; }));
    const auto unfinished_body = [](std::size_t bytes) {
        return "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
               "Citronwick-Attempt-Id: a1\r\nContent-Length: 65000\r\n\r\n" +
               std::string(bytes, 'x');
    };
    const held_callers large{router.address(), 140, unfinished_body(60'000)};
    const held_callers small{router.address(), 500, unfinished_body(3'000)}; // in what the large ones left
    may_send = true;
    int whole = 0;
    for (std::future<reply>& each : answers) {
        const reply answer = each.get();
        CHECK_MESSAGE(is_in_order(answer, last_event), joined(event_ids(answer.body)));
        whole += answer.status == 200 && answer.error.empty() ? 1 : 0;
    }
    CHECK(wait_logged(router, {"end=no-memory"}));
    CHECK(whole > 0);
}

// Guards against a resumed run that begins anew or omits events and is joined to the events before (ORDER).
TEST_CASE("proof: a run that does not go on behind the caller's last event is not relayed") {
    for (const char* const fault : {R"({"cut_after":2,"begin_anew":1})", R"({"cut_after":2,"omit":1})"}) {
        CAPTURE(fault);
        routed_fleet system{{.routers = 1}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), fault);
        CHECK(ask_for_streams(system, "/quote/stream/", stand_in_events) == 0);
        CHECK(wait_logged(system.routers()[0], {"end=out-of-sequence"}));
    }
}

// Guards against a take-up that its caller joins to events that it has (ORDER).
TEST_CASE("proof: a stream that is taken up is not answered by a run that begins anew") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"begin_anew":1})");
    const auto answer =
        system.ask(system.routers()[0], "/quote/stream/1", "taken-up", {{"Last-Event-Id", "2"}});
    CHECK(answer.status == 502);
    set_fault(system.engines()[0], "{}");
    const auto elsewhere =
        system.ask(system.routers()[0], "/quote/stream/1", "elsewhere", {{"Last-Event-Id", "2"}});
    CHECK(elsewhere.status == 200);
    CHECK(event_ids(elsewhere.body) == std::vector{3, 4, 5, 6});
}

// Guards against a connection closed in order by a worker that ends, which looks like a stream's end (ORDER).
TEST_CASE("proof: a resumable stream whose connection is closed between two events goes on behind them") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_fault(system.engines()[0], R"({"framing":"none","close_after":3})");
    set_fault(system.engines()[1], R"({"framing":"none"})");
    CHECK(ask_for_streams(system, "/quote/stream/closed", stand_in_events) > 0);
    CHECK(wait_logged(system.routers()[0],
                      {"result=answered", "first_event=1", "events=6", "runs=3 end=confirmed"}));
}

// Guards against early ends of a service that is known for them, where no second run shows them (ORDER).
TEST_CASE(
    "proof: a stream that may not be resumed is not complete by a close if its service closed too early") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"framing":"none","close_after":3})");
    ask_for_streams(system, "/quote/stream/closed", stand_in_events);
    CHECK(ask_for_streams(system, "/guide/stream/closed", stand_in_events) == 0);
}

// Guards against whole streams of sound workers that end broken since another worker has crashed (LOST).
TEST_CASE("proof: streams of sound workers are whole after another worker's process has ended") {
    SUBCASE("and accepts no connection") {
        routed_fleet system{{.routers = 1, .engines = 3}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), sends_unframed);
        check_all_whole(system, "before");
        CHECK(is_in_order(kill_under_stream(system), stand_in_events));
        check_all_whole(system, "after");
    }
    SUBCASE("behind a relay that accepts connections") {
        routed_fleet system{{.routers = 1, .engines = 3, .proxies = true}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), sends_unframed);
        CHECK(is_in_order(kill_under_stream(system), stand_in_events));
        unregister_killed(system);
        check_all_whole(system, "after");
    }
    SUBCASE("and is reached through another router") {
        routed_fleet system{{.routers = 2, .engines = 3, .proxies = true}};
        REQUIRE(system.wait_ready());
        cut_off(system, {0}, packets_dropped);
        failures_of(system, system.routers()[0], "/guide/stream/1", "cut", time_to_recover);
        set_faults(system.engines(), sends_unframed);
        CHECK(is_in_order(kill_under_stream(system), stand_in_events));
        unregister_killed(system);
        check_all_whole(system, "after");
        CHECK(wait_logged(system.routers()[0], {"request_placed", "/guide/stream/after", "directly=no"}));
    }
    SUBCASE("and has been replaced by another one at its address") {
        routed_fleet system{{.routers = 1, .engines = 1}};
        REQUIRE(system.wait_ready());
        set_faults(system.engines(), sends_unframed);
        std::atomic<int> born = 1;
        const auto serve = [&born](asio::ip::tcp::socket& connection) {
            std::string header = read_request(connection);
            while (header.starts_with("GET /v1/report ")) {
                const std::string report = "{\"born\":" + std::to_string(born) + "}";
                asio::write(connection, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                                     std::to_string(report.size()) + "\r\n\r\n" + report));
                header = read_request(connection);
            }
            const bool ends = born == 1 && header.starts_with("POST /quote/");
            const int last_event = ends ? 3 : stand_in_events;
            const std::string last = field_of(header, "Last-Event-Id");
            std::string events;
            for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= last_event; ++id) {
                events += "id: " + std::to_string(id) + "\ndata: x\n\n";
            }
            if (ends) {
                born = 2;
            }
            asio::write(connection, asio::buffer(response_header(header) +
                                                 "Content-Type: text/event-stream\r\n"
                                                 "Connection: close\r\n\r\n" +
                                                 events));
        };
        const scripted_worker worker{"restarted", serve};
        system.register_worker(worker.entry(), "bench");
        REQUIRE(wait_until([&] {
            static int asked = 0;
            const auto answer = system.ask(system.routers()[0], "/quote/stream/ready",
                                           "restarted-" + std::to_string(asked++));
            CHECK(is_in_order(answer, stand_in_events));
            return born == 2;
        }));
        system.register_worker(worker.entry(), "bench", "ready", 2);
        check_all_whole(system, "after");
    }
}

// Guards against the fault of one worker for which all others of its service are charged (LOST).
TEST_CASE("proof: a worker that lives and closes streams early is doubted, and no other one") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    node& early = system.engines()[0];
    const node& sound = system.engines()[1];
    set_fault(early, R"({"born":1,"framing":"none","close_after":3})");
    set_fault(sound, R"({"born":1,"framing":"none"})");
    ask_for_streams(system, "/quote/stream/closed", stand_in_events);
    REQUIRE(wait_logged(system.routers()[0], {"stream_ended_early", early.name, "process=lives"}));
    int whole = 0;
    int sound_runs = 0;
    for (int count = 0; count < 2 * streams; ++count) {
        const std::string attempt = "guide" + std::to_string(count);
        const auto answer = system.ask(system.routers()[0], "/guide/stream/1", attempt);
        CHECK_MESSAGE(is_in_order(answer, stand_in_events), joined(event_ids(answer.body)));
        whole += answer.status == 200 && answer.error.empty() ? 1 : 0;
        sound_runs += runs_of(sound, attempt) > 0 ? 1 : 0;
    }
    CHECK(whole == sound_runs);
    CHECK(sound_runs > 0);
}

// Guards against two workers that end one after the other and look like a confirmed end (ORDER).
TEST_CASE("proof: a second run whose worker ends before its first event does not confirm the end") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    node& first = system.engines()[0];
    node& second = system.engines()[1];
    system.unregister_worker(second);
    REQUIRE(wait_until(
        [&] { return system.view(system.routers()[0]).at("services").at("bench").as_array().size() == 1; }));
    set_fault(first, R"({"framing":"none","event_gap_ms":150})");
    set_fault(second, R"({"framing":"none","crash_on_part":"5c1e07a2"})");
    auto asked = std::async(std::launch::async, [&] {
        return system.ask(
            system.routers()[0], "/quote/stream/1", "both-end",
            {{"Citronwick-Prompt-Prefix", "5c1e07a2:800"}, {"Citronwick-Token-Counts", "800,80"}});
    });
    REQUIRE(wait_until([&] { return runs_of(first, "both-end") == 1; }));
    system.register_worker(second, "bench", "ready", 2);
    REQUIRE(wait_until(
        [&] { return system.view(system.routers()[0]).at("services").at("bench").as_array().size() == 2; }));
    std::this_thread::sleep_for(200ms);
    first.process->kill();
    const auto answer = asked.get();
    CHECK_FALSE(answer.error.empty());
    CHECK_MESSAGE(is_in_order(answer, stand_in_events), joined(event_ids(answer.body)));
}

// Guards against whole streams that end broken because their end cannot be confirmed.
TEST_CASE(
    "proof: a stream is whole although its worker does not answer the question whether an event follows") {
    routed_fleet system{{.routers = 1, .engines = 0}};
    std::atomic<bool> confirms = true;
    std::atomic<bool> rejects = true;
    const auto serve = [&](asio::ip::tcp::socket& connection) {
        const std::string header = read_request(connection);
        const std::string start = response_header(header);
        if (field_of(header, "Last-Event-Id").empty()) {
            const std::string stream =
                start + "Connection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            asio::write(connection, asio::buffer(stream));
        } else if (confirms) {
            asio::write(connection, asio::buffer(start + "Connection: close\r\n\r\n"));
        } else if (rejects) {
            const std::string refusal = "HTTP/1.1 503 Full\r\nCitronwick-Not-Run: 1\r\n" +
                                        start.substr(start.find("Citronwick-Attempt-Id")) +
                                        "Content-Length: 0\r\n\r\n";
            asio::write(connection, asio::buffer(refusal));
        } else {
            std::this_thread::sleep_for(3s);
        }
    };
    const scripted_worker worker{"busy", serve};
    system.register_worker(worker.entry(), "bench");
    REQUIRE(wait_streams_served(system));
    for (const char* const attempt : {"first", "second", "third"}) {
        CHECK(system.ask(system.routers()[0], "/quote/stream/1", attempt).error.empty());
    }
    confirms = false;
    for (const char* const attempt : {"rejected", "late"}) {
        CAPTURE(attempt);
        const auto asked_at = std::chrono::steady_clock::now();
        const auto answer = system.ask(system.routers()[0], "/quote/stream/1", attempt);
        CHECK(answer.error.empty());
        CHECK(is_in_order(answer, 2));
        CHECK(std::chrono::steady_clock::now() - asked_at < 1'500ms);
        rejects = false;
    }
}

TEST_CASE("proof: streams without length or chunks are whole, also once the retry budget is used up") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"framing":"none"})");
    for (const std::string path : {"/quote/stream/a", "/quote/stream/b", "/guide/stream/a"}) {
        CHECK(ask_for_streams(system, path, stand_in_events) == streams);
    }
    const node& router = system.routers()[0];
    CHECK(wait_logged(router, {"request_ended", "/quote/", "runs=2 end=confirmed"}));
    CHECK(wait_logged(router, {"request_ended", "/quote/", "runs=1 end=known-last-event"}));
}

// Guards against an orderly close that counts as an end once no second run can be had (ORDER).
TEST_CASE("proof: a stream that is closed early is not complete once the retry budget is used up") {
    routed_fleet system{{.routers = 1}};
    REQUIRE(system.wait_ready());
    set_faults(system.engines(), R"({"framing":"none"})");
    ask_for_streams(system, "/quote/stream/a", stand_in_events);
    ask_for_streams(system, "/quote/stream/b", stand_in_events);
    set_faults(system.engines(), R"({"framing":"none","close_after":3})");
    ask_for_streams(system, "/quote/stream/closed", stand_in_events);
    CHECK(wait_logged(system.routers()[0], {"request_ended", "/quote/", "events=3", "result=stream-broken"}));
}

// Guards against an end that is taken for proved because nobody could be asked for a proof (ORDER).
TEST_CASE("proof: a stream without length or chunks is not complete if nothing has ever shown its end") {
    routed_fleet system{{.routers = 1, .engines = 0}};
    const auto serve = [&](asio::ip::tcp::socket& connection) {
        const std::string header = read_request(connection);
        const std::string start = response_header(header);
        const bool is_first_run = field_of(header, "Last-Event-Id").empty();
        const std::string refusal = "HTTP/1.1 503 Full\r\nCitronwick-Not-Run: 1\r\n" +
                                    start.substr(start.find("Citronwick-Attempt-Id")) +
                                    "Content-Length: 0\r\n\r\n";
        asio::write(
            connection,
            asio::buffer(is_first_run ? start + "Connection: close\r\n\r\nid: 1\ndata: a\n\n" : refusal));
    };
    const scripted_worker worker{"never", serve};
    system.register_worker(worker.entry(), "bench");
    REQUIRE(wait_streams_served(system));
    for (int count = 0; count < streams; ++count) {
        const auto answer =
            system.ask(system.routers()[0], "/quote/stream/1", "never" + std::to_string(count));
        CHECK_FALSE(answer.error.empty());
        CHECK(event_ids(answer.body) == std::vector{1});
    }
}

// Guards against a VM that is gone and answers nothing, which is no sign of life (ORDER).
TEST_CASE("proof: a stream is not complete by a close if its worker accepts no connection afterwards") {
    routed_fleet system{{.routers = 1, .engines = 0}};
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}, false};
    acceptor.listen(0);
    std::vector<asio::ip::tcp::socket> waiting;
    const std::jthread serving{[&] {
        asio::ip::tcp::socket connection = acceptor.accept();
        const std::string header = read_request(connection);
        // These fill the queue of the listener, so that further connections get no answer.
        for (int count = 0; count < 4; ++count) {
            waiting.emplace_back(context, asio::ip::tcp::v4());
            waiting.back().async_connect(acceptor.local_endpoint(), [](const auto&) {});
        }
        std::this_thread::sleep_for(50ms);
        const std::string response = response_header(header) + "Connection: close\r\n\r\nid: 1\ndata: a\n\n";
        asio::write(connection, asio::buffer(response));
        connection.shutdown(asio::socket_base::shutdown_both);
    }};
    const node worker{.name = "gone", .addresses = {endpoint{"127.0.0.1", acceptor.local_endpoint().port()}}};
    system.register_worker(worker, "bench");
    const node& router = system.routers()[0];
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] { return system.view(router).at("services").as_object().contains("bench"); }));
    const auto answer = system.ask(router, "/guide/stream/1", "gone");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.error.empty());
    CHECK(event_ids(answer.body) == std::vector{1});
}

// Guards against a router that ends because the worker to ask again has left.
TEST_CASE("proof: a stream without length or chunks is whole although its worker leaves meanwhile") {
    routed_fleet system{{.routers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    node& engine = system.engines()[0];
    set_fault(engine, R"({"framing":"none"})");
    for (const char* const attempt : {"first", "second", "third"}) {
        CHECK(system.ask(system.routers()[0], "/quote/stream/1", attempt).error.empty());
    }
    set_fault(engine, R"({"framing":"none","event_gap_ms":150})");
    auto asked = std::async(std::launch::async,
                            [&] { return system.ask(system.routers()[0], "/quote/stream/1", "leaving"); });
    REQUIRE(wait_until([&] { return runs_of(engine, "leaving") == 1; }));
    system.unregister_worker(engine);
    const auto answer = asked.get();
    CHECK(answer.error.empty());
    CHECK(is_in_order(answer, stand_in_events));
    CHECK(system.ask(system.routers()[0], "/read/1", "after").status == 200);
}

// Guards against a worker's end that looks like the end of its stream (ORDER).
TEST_CASE("proof: a stream whose worker is killed never ends as complete") {
    constexpr int kills = 3;
    routed_fleet system{{.routers = 1, .engines = 1}};
    REQUIRE(system.wait_ready());
    node& engine = system.engines()[0];
    std::int64_t incarnation = 1;
    for (int kill = 0; kill < kills; ++kill) {
        for (const std::string path : {"/guide/stream/", "/quote/stream/"}) {
            const std::string attempt = path + std::to_string(kill);
            CAPTURE(attempt);
            set_fault(engine, R"({"framing":"none","event_gap_ms":100})");
            auto asked = std::async(std::launch::async,
                                    [&] { return system.ask(system.routers()[0], path + "1", attempt); });
            REQUIRE(wait_until([&] { return runs_of(engine, attempt) == 1; }));
            std::this_thread::sleep_for(250ms);
            engine.process->kill();
            const auto answer = asked.get();
            CHECK_FALSE(answer.error.empty());
            CHECK(is_in_order(answer, stand_in_events));
            system.restart_worker(engine, "bench", ++incarnation);
            REQUIRE(wait_streams_served(system));
        }
    }
}

// Guards against bytes of an empty stream in front of the next response of a kept connection.
TEST_CASE("proof: a connection that brought a stream without events brings the next response") {
    routed_fleet system{{.routers = 1, .engines = 0}};
    std::string framing;
    std::string end;
    SUBCASE("in chunks") {
        framing = "Transfer-Encoding: chunked\r\nConnection: close\r\n";
        end = "0\r\n\r\n";
    }
    SUBCASE("without length or chunks") {
        framing = "Connection: close\r\n";
    }
    const scripted_worker worker{"empty", [&](asio::ip::tcp::socket& connection) {
                                     const std::string header = read_request(connection);
                                     asio::write(connection,
                                                 asio::buffer(response_header(header) + framing +
                                                              "Content-Type: text/event-stream\r\n"
                                                              "\r\n" +
                                                              end));
                                 }};
    system.register_worker(worker.entry(), "bench");
    REQUIRE(wait_until(
        [&] { return system.ask(system.routers()[0], "/guide/stream/ready", "ready").status == 200; }));
    kept_connection connection{system.routers()[0].address()};
    for (int count = 0; count < streams; ++count) {
        const auto answer = connection.ask(to_bytes({.method = "POST",
                                                     .target = "/guide/stream/1",
                                                     .headers = {{"Host", "shop.example"},
                                                                 {"X-Api-Key", "club-key"},
                                                                 {"Citronwick-Attempt-Id", "empty"}}}));
        CHECK_MESSAGE(answer.status == 200, answer.body);
        CHECK_MESSAGE(answer.error.empty(), answer.error);
        CHECK(answer.body.empty());
    }
}
