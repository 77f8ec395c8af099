// A response that has neither a length nor chunks ends with its connection, behind which the router looks
// whether the upstream's process lives on. A connect that nobody answers does not tell.

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <condition_variable>
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <mutex>
#include <stop_token>
#include <string>
#include <sys/socket.h>
#include <thread>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

constexpr const char* two_events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// Serves one connection after the other, and drops the packets that come to its listener for a while
/// from the end of a response on.
class silent_worker {
public:
    explicit silent_worker(const std::string& name) {
        acceptor_.listen();
        entry_.name = name;
        entry_.addresses = {to_endpoint(acceptor_.local_endpoint())};
        thread_ = std::jthread{[this](const std::stop_token& stopped) { serve(stopped); }};
    }
    silent_worker(const silent_worker&) = delete;
    silent_worker& operator=(const silent_worker&) = delete;
    ~silent_worker() {
        thread_.request_stop();
        asio::ip::tcp::socket last{context_};
        boost::system::error_code ignored;
        last.connect(acceptor_.local_endpoint(), ignored); // ends the waiting `accept`
    }

    const node& entry() const { return entry_; }

    /// Sets the silence behind the next response.
    void set_silence(std::chrono::milliseconds silence) { silence_ = silence; }

private:
    void serve(const std::stop_token& stopped) {
        while (!stopped.stop_requested()) {
            asio::ip::tcp::socket connection{context_};
            acceptor_.accept(connection);
            try {
                answer(connection, stopped);
            } catch (const boost::system::system_error&) {
                continue; // the router closed a connection without a request
            }
        }
    }

    void answer(asio::ip::tcp::socket& connection, const std::stop_token& stopped) {
        const std::string request = read_request(connection);
        const bool is_stream = request.find("/stream/") != std::string::npos;
        const bool goes_on = !field_of(request, "Last-Event-Id").empty();
        const std::string body = !is_stream ? "done" : goes_on ? "" : two_events;
        const std::string type = is_stream ? "Content-Type: text/event-stream\r\n" : "";
        asio::write(connection, asio::buffer(response_header(request) + type + "\r\n" + body));
        const auto silence = silence_.exchange(0ms);
        if (silence == 0ms) {
            return;
        }
        drop_packets();
        connection.close();
        std::unique_lock lock{mutex_};
        condition_.wait_for(lock, stopped, silence, [] { return false; });
        const int unused = 0;
        ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    }

    void drop_packets() {
        sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop_all};
        ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
    }

    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    node entry_;
    std::atomic<std::chrono::milliseconds> silence_{0ms};
    std::mutex mutex_;
    std::condition_variable_any condition_;
    std::jthread thread_;
};

/// Asks with the longest time that the routes allow.
reply ask(routed_fleet& system, const std::string& path, const std::string& attempt) {
    return http_call(system.routers()[0].address(), {.method = path.starts_with("/read/") ? "GET" : "POST",
                                                     .target = path,
                                                     .headers = {{"Host", "shop.example"},
                                                                 {"X-Api-Key", "club-key"},
                                                                 {"Citronwick-Attempt-Id", attempt},
                                                                 {"Citronwick-Deadline-Ms", "3000"}}});
}

} // namespace

// Guards against sound responses that end broken since their upstream is silent behind them.
TEST_CASE("proof: an unframed response is delivered if its upstream answers no connect for a second") {
    silent_worker desk{"desk-silent"};
    silent_worker bench{"bench-silent"};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(desk.entry(), "desk");
    system.register_worker(bench.entry(), "bench");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] { return ask(system, "/read/1", "ready").status == 200; }));
    REQUIRE(wait_until([&] { return ask(system, "/guide/stream/1", "ready-stream").status == 200; }));
    for (const std::string path : {"/read/1", "/book/1", "/guide/stream/1", "/quote/stream/1"}) {
        CAPTURE(path);
        for (const auto silence : {1'000ms, 1'800ms}) {
            (path.find("/stream/") != std::string::npos ? bench : desk).set_silence(silence);
            const auto answer = ask(system, path, path + std::to_string(silence.count()));
            CHECK(answer.status == 200);
            CHECK(answer.error.empty());
            CHECK(answer.body == (path.find("/stream/") != std::string::npos ? two_events : "done"));
        }
    }
}

TEST_CASE("proof: an unframed response whose upstream answers no connect any more is not delivered") {
    silent_worker worker{"desk-silent"};
    routed_fleet system{{.routers = 1, .plain_workers = 0, .engines = 0}};
    system.register_worker(worker.entry(), "desk");
    REQUIRE(system.wait_ready());
    REQUIRE(wait_until([&] { return ask(system, "/read/1", "ready").status == 200; }));
    worker.set_silence(10s);
    const auto begin = clock::now();
    const auto answer = ask(system, "/book/1", "book");
    CHECK(answer.status == 502);
    CHECK(answer.header("Citronwick-Outcome") == "unknown");
    CHECK(clock::now() - begin < 3s);
}
