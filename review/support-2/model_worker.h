// Stand-in of a model worker, and of the link to it.

#ifndef CITRONWICK_REVIEW_MODEL_WORKER_H_INCLUDED
#define CITRONWICK_REVIEW_MODEL_WORKER_H_INCLUDED

#include "rig.h"

#include <memory>
#include <optional>

namespace rig {

/// Event of a stream. Generated text differs between requests.
inline std::string event(int number, const std::string& attempt) {
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " for " + attempt +
           "\n\n";
}

/// Attempts whose answers have neither a length nor chunks and end with their connection. Others come in
/// chunks.
inline bool is_unframed(const std::string& attempt) {
    return attempt.ends_with("00");
}

inline void say(const std::string& text) {
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

struct worker_settings {
    std::uint16_t port = 0;
    std::string id;
    std::int64_t born = 0;
    int events = 0; ///< of each stream
    milliseconds interval{0};
    std::string shed_file; ///< while it exists, 52 in 100 requests are refused; empty for never
};

/// Answers one request.
/// @return whether the connection stays open
inline bool answer_request(int socket, const worker_settings& settings, const message& request) {
    const std::string attempt = request.field("Citronwick-Attempt-Id");
    if (request.start_line.find(" /v1/report ") != std::string::npos) {
        const std::string body =
            "{\"stage\":\"prefill_and_decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":245712,"
            "\"handles\":0,\"born\":" +
            std::to_string(settings.born) + "}";
        return write_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (request.field("Citronwick-Expect-Instance") != settings.id) {
        return write_all(socket, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    }
    static std::atomic<int> asked = 0;
    constexpr int cycle = 25;
    constexpr int refused_of_cycle = 13;
    if (!settings.shed_file.empty() && std::filesystem::exists(settings.shed_file) &&
        ++asked * refused_of_cycle % cycle < refused_of_cycle) {
        say("refuses " + attempt);
        return write_all(socket,
                         "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nCitronwick-Attempt-Id: " +
                             attempt + "\r\nCitronwick-Not-Run: 1\r\n\r\n");
    }
    const bool has_chunks = !is_unframed(attempt);
    const int first = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
    say("runs " + attempt + " from event " + std::to_string(first) +
        (has_chunks ? "" : ", without length or chunks"));
    write_all(socket, std::string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"} +
                          (has_chunks ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n") +
                          "Citronwick-Attempt-Id: " + attempt + "\r\nCitronwick-Server-Stamp: stamp." +
                          settings.id + "\r\nCitronwick-Server-Load: 1,0,96\r\n\r\n");
    for (int number = first; number <= settings.events; ++number) {
        const std::string text = event(number, attempt);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!write_all(socket, has_chunks ? size + text + "\r\n" : text)) {
            say("caller of " + attempt + " left before event " + std::to_string(number));
            return false;
        }
        sleep_for(settings.interval);
    }
    say("made all of " + attempt + ", up to event " + std::to_string(settings.events));
    return has_chunks && write_all(socket, "0\r\n\r\n");
}

/// Serves until it is killed.
inline int run_worker(const worker_settings& settings) {
    ::signal(SIGPIPE, SIG_IGN);
    const int listener = listen_on(settings.port);
    if (listener < 0) {
        return 2;
    }
    say("worker " + settings.id + " started, born " + std::to_string(settings.born));
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        set_no_delay(socket);
        std::thread{[socket, settings] {
            std::string input;
            message request;
            while (read_request(socket, input, request, milliseconds{60'000}) &&
                   answer_request(socket, settings, request)) {
            }
            ::close(socket);
        }}.detach();
    }
}

/// Runs a worker if the words of the command line ask for one.
inline std::optional<int> run_as_worker(int count, char** words) {
    if (count != 8 || std::string{words[1]} != "worker") {
        return std::nullopt;
    }
    return run_worker({static_cast<std::uint16_t>(std::stoi(words[2])), words[3], std::stoll(words[4]),
                       std::stoi(words[5]), milliseconds{std::stoi(words[6])}, words[7]});
}

/// The link to a worker. While it is cut, the bytes of both directions and the ends of connections are held
/// up, and new connections are not made.
class link {
public:
    explicit link(std::uint16_t worker)
        : worker_{worker}, listener_{listen_on(0)}, port_{port_of(listener_)} {
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

    void carry(int router) {
        await();
        set_no_delay(router);
        const int worker = connect_to(worker_);
        if (worker < 0) {
            reset(router);
            return;
        }
        std::thread up{[=, this] { forward(router, worker); }};
        forward(worker, router);
        up.join();
        ::close(worker);
        ::close(router);
    }

    void forward(int from, int to) const {
        char buffer[16384];
        while (true) {
            const auto size = ::recv(from, buffer, sizeof buffer, 0);
            const bool is_reset = size < 0;
            await();
            if (is_reset) {
                const linger at_once{1, 0};
                ::setsockopt(to, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
                ::shutdown(to, SHUT_RD);
                return;
            }
            if (size == 0) {
                ::shutdown(to, SHUT_WR);
                return;
            }
            if (!write_all(to, std::string(buffer, static_cast<std::size_t>(size)))) {
                ::shutdown(from, SHUT_RD);
                return;
            }
        }
    }

    static void reset(int socket) {
        const linger at_once{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(socket);
    }

    std::uint16_t worker_;
    int listener_;
    std::uint16_t port_;
    std::atomic<bool> is_cut_ = false;
};

/// A worker with its link, as the driver of a case sees it.
class model_worker {
public:
    model_worker(const deployment& fleet, std::string id, bool is_direct, int events, milliseconds interval,
                 std::string shed_file = {})
        : fleet_{fleet}, id_{std::move(id)}, events_{events}, interval_{interval},
          shed_file_{std::move(shed_file)}, own_port_{free_port()}, way_{new link{own_port_}},
          port_{is_direct ? own_port_ : way_->port()}, log_{fleet.file(id_ + ".log")} {
        start();
    }

    void start() {
        born_ = unix_milliseconds();
        process_ = std::make_unique<process>(
            std::vector<std::string>{std::filesystem::canonical("/proc/self/exe").string(), "worker",
                                     std::to_string(own_port_), id_, std::to_string(born_),
                                     std::to_string(events_), std::to_string(interval_.count()), shed_file_},
            log_);
    }
    void crash() { process_->kill(); }
    void announce() const { fleet_.put("servers/" + id_, worker_entry("bench", port_, born_, 96)); }
    link& way() { return *way_; }
    const std::string& id() const { return id_; }
    const std::string& log() const { return log_; }

    bool runs(const std::string& attempt) const {
        std::ifstream input{log_};
        std::stringstream text;
        text << input.rdbuf();
        return text.str().find("runs " + attempt) != std::string::npos;
    }

private:
    const deployment& fleet_;
    std::string id_;
    int events_;
    milliseconds interval_;
    std::string shed_file_;
    std::uint16_t own_port_;
    link* way_; ///< its threads last until the process ends
    std::uint16_t port_;
    std::string log_;
    std::int64_t born_ = 0;
    std::unique_ptr<process> process_;
};

} // namespace rig

#endif
