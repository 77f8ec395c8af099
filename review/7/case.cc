// A router that is cut off in its zone names the tenant of a key that was taken away.

#include "rig.h"

#include <memory>

using namespace rig;

namespace {

constexpr milliseconds cut_for{6'500};
constexpr milliseconds revoked_after{200}; ///< the beginning of the cut
constexpr milliseconds revoke_bound{5'000};
constexpr milliseconds first_request_after{5'200}; ///< the acknowledgement of the configuration
constexpr milliseconds last_request_after{6'200};
constexpr milliseconds request_interval{50};

const std::string key = "n2ctnfzs989anu6wsjnb";
const std::string tenant = "hule930";

/// Stand-in of an application's worker. Writes down each run with its tenant.
int run_worker(std::uint16_t port, const std::string& id) {
    ::signal(SIGPIPE, SIG_IGN);
    const int listener = listen_on(port);
    if (listener < 0) {
        return 2;
    }
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        set_no_delay(socket);
        std::thread{[socket, id] {
            std::string input;
            message request;
            while (read_request(socket, input, request, milliseconds{60'000})) {
                if (request.field("Citronwick-Expect-Instance") != id) {
                    write_all(socket, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                const std::string attempt = request.field("Citronwick-Attempt-Id");
                const std::string named = request.field("Citronwick-Tenant");
                std::printf("runs %s for tenant %s\n", attempt.c_str(), named.empty() ? "-" : named.c_str());
                std::fflush(stdout);
                sleep_for(milliseconds{15});
                write_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nCitronwick-Attempt-Id: " +
                                      attempt + "\r\nCitronwick-Server-Stamp: stamp." + id +
                                      "\r\nCitronwick-Server-Load: 1,0,6\r\n\r\ndone");
            }
            ::close(socket);
        }}.detach();
    }
}

/// The way out of the zone, to the platform's store. While it is cut, the bytes of both directions are held
/// up.
class way_out {
public:
    explicit way_out(std::uint16_t store)
        : store_{store}, listener_{listen_on(0)}, port_{port_of(listener_)} {
        std::thread{[this] {
            while (true) {
                const int accepted = ::accept(listener_, nullptr, nullptr);
                if (accepted >= 0) {
                    std::thread{[this, accepted] { carry(accepted); }}.detach();
                }
            }
        }}.detach();
    }
    std::uint16_t port() const { return port_; }
    void set_cut(bool is_cut) { is_cut_ = is_cut; }

private:
    void await() const {
        while (is_cut_) {
            sleep_for(milliseconds{1});
        }
    }

    void carry(int router) const {
        await();
        const int store = connect_to(store_);
        if (store < 0) {
            ::close(router);
            return;
        }
        set_no_delay(router);
        std::thread up{[=, this] { forward(router, store); }};
        forward(store, router);
        up.join();
        ::close(store);
        ::close(router);
    }

    void forward(int from, int to) const {
        std::string bytes;
        while (read_more(from, bytes, milliseconds{3'600'000}) == 1) {
            await();
            if (!write_all(to, bytes)) {
                break;
            }
            bytes.clear();
        }
        await();
        ::shutdown(to, SHUT_WR);
        ::shutdown(from, SHUT_RD);
    }

    std::uint16_t store_;
    int listener_;
    std::uint16_t port_;
    std::atomic<bool> is_cut_ = false;
};

std::string configuration(int version, const std::string& keys) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"open","host":"ficu95.example","prefix":"/lohu930/","kind":"safe",)"
           R"("service":"desk","timeoutMs":1000,"targetLatencyMs":100,"attempts":2,"priority":1,)"
           R"("allowAnonymous":true},{"name":"closed","host":"ficu95.example","prefix":"/puxa403/",)"
           R"("kind":"safe","service":"desk","timeoutMs":1000,"targetLatencyMs":100,"attempts":2,)"
           R"("priority":1}],"services":[{"name":"desk","connectionLimit":96,"healthCheckPath":"/health"}],)"
           R"("limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000},)"
           R"("tenants":[{"name":")" +
           tenant + R"(","apiKeys":[)" + keys +
           R"(]},{"name":"sipo111","apiKeys":["w3kxq0v7r1lzb8dchm5t"]}]})";
}

int run(const std::string& root, const std::string& folder) {
    record log{folder + "/record.txt"};
    deployment fleet{root, log};
    const std::string worker_log = fleet.file("worker.log");
    const std::uint16_t worker_port = free_port();
    const std::string id = "i-40f425ee5c";
    const process worker{
        {std::filesystem::canonical("/proc/self/exe").string(), "worker", std::to_string(worker_port), id},
        worker_log};
    auto* const way = new way_out{fleet.store_port()}; // its threads last until the process ends
    fleet.put("op/config", configuration(3, "\"" + key + "\""));
    fleet.put("servers/" + id, worker_entry("desk", worker_port, unix_milliseconds(), 6));
    const machine front = new_machine("front-ulsan-c-1", "ulsan-c");
    const auto router = fleet.start_router(front, "127.0.0.1:" + std::to_string(way->port()));
    fleet.await_ready(front);
    sleep_for(milliseconds{2'000});

    std::map<std::string, milliseconds> sent; ///< by attempt, since the acknowledgement
    steady::time_point acknowledged = steady::now();
    int number = 0;
    const auto ask = [&](const std::string& path, bool has_key) {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "9c41d07be2a3%04x", ++number);
        const auto since = std::chrono::duration_cast<milliseconds>(steady::now() - acknowledged);
        sent[attempt] = since;
        const auto received = call(front.front, "GET " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
                                                    (has_key ? "X-Api-Key: " + key + "\r\n" : std::string{}) +
                                                    "Citronwick-Attempt-Id: " + attempt +
                                                    "\r\nCitronwick-Deadline-Ms: 1000\r\n\r\n");
        log.line(std::string{"client sends "} + attempt + " to " + path +
                 (has_key ? " with the key" : " without a key") + ", " + std::to_string(since.count()) +
                 " ms after the acknowledgement: status " + std::to_string(received.head.status()));
        return received.head.status();
    };
    if (ask("/lohu930/2f", true) != 200 || ask("/puxa403/2f", true) != 200 ||
        ask("/lohu930/2f", false) != 200) {
        log.line("could not run: the routes do not serve before the disruption");
        return 2;
    }
    const std::size_t sent_before = sent.size();
    const auto begin = steady::now();
    if (has_trouble()) {
        way->set_cut(true);
        log.line("the zone is cut off");
    }
    sleep_for(revoked_after);
    fleet.put("op/config", configuration(7, ""));
    acknowledged = steady::now();
    log.line("the store has acknowledged the configuration that takes the key away");
    std::this_thread::sleep_until(acknowledged + first_request_after);
    ask("/puxa403/2f", true);
    while (steady::now() < acknowledged + last_request_after) {
        ask("/lohu930/2f", true);
        sleep_for(request_interval);
    }
    std::this_thread::sleep_until(begin + cut_for);
    way->set_cut(false);
    log.line("the cut is over");
    log.append("worker", worker_log);

    int wrong = 0;
    int runs = 0;
    std::ifstream input{worker_log};
    for (std::string line; std::getline(input, line);) {
        const std::string attempt = line.substr(5, 16);
        const bool is_late = std::stoi(attempt.substr(12), nullptr, 16) > static_cast<int>(sent_before) &&
                             sent[attempt] > revoke_bound;
        runs += is_late ? 1 : 0;
        wrong += is_late && line.ends_with("for tenant " + tenant) ? 1 : 0;
    }
    log.line(std::to_string(runs) + " requests with the key ran that were sent later than " +
             std::to_string(revoke_bound.count()) + " ms after it was taken away, " + std::to_string(wrong) +
             " of them in the name of the tenant that does not hold it any more");
    if (runs == 0 && !has_trouble()) {
        log.line("could not run: no request ran");
        return 2;
    }
    log.line(wrong > 0 ? "UNASKED broken" : "UNASKED held");
    return wrong > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** words) {
    if (count == 4 && std::string{words[1]} == "worker") {
        return run_worker(static_cast<std::uint16_t>(std::stoi(words[2])), words[3]);
    }
    return count == 3 ? run_case([&] { return run(words[1], words[2]); }) : 2;
}
