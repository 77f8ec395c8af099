// Starts a small deployment of real processes: the project's router with the commands of its deploy file, the
// project's stand-in of the store, and the stand-ins of a case. POSIX only.

#ifndef CITRONWICK_REVIEW_RIG_H_INCLUDED
#define CITRONWICK_REVIEW_RIG_H_INCLUDED

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleep_for(milliseconds time) {
    std::this_thread::sleep_for(time);
}

inline std::int64_t unix_milliseconds() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A case that could not run, which ends it with 2.
struct setup_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run to `record.txt`, with milliseconds since the start.
class record {
public:
    explicit record(const std::string& file) : output_{file} {}

    void line(const std::string& text) {
        const std::scoped_lock lock{mutex_};
        const auto now = std::chrono::duration_cast<milliseconds>(steady::now() - start_).count();
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now) / 1000.0);
        output_ << time << text << std::endl;
    }

    /// Adds a log file of a stand-in line by line.
    void append(const std::string& name, const std::string& file) {
        const std::scoped_lock lock{mutex_};
        std::ifstream input{file};
        for (std::string text; std::getline(input, text);) {
            output_ << name << ": " << text << "\n";
        }
    }

private:
    std::mutex mutex_;
    std::ofstream output_;
    steady::time_point start_ = steady::now();
};

// Sockets

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline void set_no_delay(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int listen_on(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket, 128) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

inline std::uint16_t port_of(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline std::uint16_t free_port() {
    const int socket = listen_on(0);
    const std::uint16_t port = port_of(socket);
    ::close(socket);
    return port;
}

inline int connect_to(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    set_no_delay(socket);
    return socket;
}

inline bool write_all(int socket, const std::string& bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto size = ::send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

/// Reads more bytes.
/// @return 1 if some came, 0 at the end, -1 after an error, -2 after the timeout
inline int read_more(int socket, std::string& bytes, milliseconds timeout) {
    pollfd readable{socket, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(std::max<std::int64_t>(timeout.count(), 0))) == 0) {
        return -2;
    }
    char buffer[65536];
    const auto size = ::recv(socket, buffer, sizeof buffer, 0);
    if (size <= 0) {
        return size == 0 ? 0 : -1;
    }
    bytes.append(buffer, static_cast<std::size_t>(size));
    return 1;
}

// HTTP

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

struct message {
    std::string start_line;
    std::map<std::string, std::string> fields; ///< by name in lower case
    std::string body;

    std::string field(const std::string& name) const {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string{} : found->second;
    }
    int status() const { return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9); }
};

inline message parse_header(const std::string& text) {
    message parsed;
    std::istringstream lines{text};
    std::getline(lines, parsed.start_line);
    if (!parsed.start_line.empty() && parsed.start_line.back() == '\r') {
        parsed.start_line.pop_back();
    }
    for (std::string line; std::getline(lines, line) && line != "\r";) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            parsed.fields[lower(line.substr(0, colon))] = value;
        }
    }
    return parsed;
}

/// Reads one request with a length or without a body. Bytes behind it stay in `input`.
inline bool read_request(int socket, std::string& input, message& request, milliseconds timeout) {
    std::size_t end = input.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (read_more(socket, input, timeout) != 1) {
            return false;
        }
        end = input.find("\r\n\r\n");
    }
    request = parse_header(input.substr(0, end + 4));
    const std::size_t length = std::strtoul(request.field("Content-Length").c_str(), nullptr, 10);
    while (input.size() < end + 4 + length) {
        if (read_more(socket, input, timeout) != 1) {
            return false;
        }
    }
    request.body = input.substr(end + 4, length);
    input.erase(0, end + 4 + length);
    return true;
}

/// What a client has received.
struct answer {
    message head;
    std::string body;      ///< without the framing
    bool is_whole = false; ///< as far as its framing tells
    std::string end;       ///< how it ended
};

/// Reads an answer with a length or in chunks.
/// @param gap longest time without a byte after which the client leaves
inline answer read_answer(int socket, std::string& input, milliseconds gap,
                          const std::function<void(const std::string&)>& on_bytes = {}) {
    answer received;
    const auto more = [&] {
        const std::size_t before = input.size();
        const int result = read_more(socket, input, gap);
        if (result == 1 && on_bytes) {
            on_bytes(input.substr(before));
        }
        received.end = result == 0    ? "connection closed"
                       : result == -1 ? std::string{"connection broken: "} + std::strerror(errno)
                       : result == -2 ? "the client left after a silence"
                                      : received.end;
        return result == 1;
    };
    std::size_t end = input.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!more()) {
            return received;
        }
        end = input.find("\r\n\r\n");
    }
    received.head = parse_header(input.substr(0, end + 4));
    input.erase(0, end + 4);
    if (lower(received.head.field("Transfer-Encoding")) == "chunked") {
        while (true) {
            std::size_t line = input.find("\r\n");
            while (line == std::string::npos) {
                if (!more()) {
                    return received;
                }
                line = input.find("\r\n");
            }
            const std::size_t size = std::strtoul(input.c_str(), nullptr, 16);
            while (input.size() < line + 2 + size + 2) {
                if (!more()) {
                    return received;
                }
            }
            received.body += input.substr(line + 2, size);
            input.erase(0, line + 2 + size + 2);
            if (size == 0) {
                break;
            }
        }
    } else {
        const std::size_t length = std::strtoul(received.head.field("Content-Length").c_str(), nullptr, 10);
        while (input.size() < length) {
            if (!more()) {
                received.body = input;
                return received;
            }
        }
        received.body = input.substr(0, length);
        input.erase(0, length);
    }
    received.is_whole = true;
    received.end = "complete";
    return received;
}

inline answer call(std::uint16_t port, const std::string& request, milliseconds gap = milliseconds{5000}) {
    const int socket = connect_to(port);
    if (socket < 0) {
        answer none;
        none.end = "not connected";
        return none;
    }
    write_all(socket, request);
    std::string input;
    answer received = read_answer(socket, input, gap);
    ::close(socket);
    return received;
}

// Processes

/// A child process. It is killed with its parent.
class process {
public:
    process(const std::vector<std::string>& words, const std::string& log) {
        std::vector<char*> arguments;
        for (const std::string& word : words) {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(127);
            }
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process() { kill(); }

    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    void kill() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    bool is_running() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    int status() const { return status_; }
    pid_t id() const { return pid_; }

private:
    pid_t pid_ = -1;
    int status_ = 0;
};

/// Fields of the settings that the template of the deploy file names.
struct machine {
    std::string name = "front-busan-a-1";
    std::string zone = "busan-a";
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t fleet = 0;
};

class deployment {
public:
    /// @param root folder of the repository
    deployment(std::string root, record& log) : root_{std::move(root)}, log_{log} {
        char pattern[] = "/tmp/review-XXXXXX";
        const char* const made = ::mkdtemp(pattern);
        if (made == nullptr) {
            throw setup_error{"no temporary folder"};
        }
        folder_ = made;
        const std::string ports = file("store.ports");
        store_ = std::make_unique<process>(
            std::vector<std::string>{root_ + "/target/bin/standin", "store", "--port-file", ports},
            file("store.log"));
        for (int tries = 0; tries < 250 && !std::filesystem::exists(ports); ++tries) {
            sleep_for(milliseconds{20});
        }
        std::ifstream input{ports};
        std::string address;
        if (!(input >> address)) {
            throw setup_error{"the store did not start"};
        }
        store_port_ = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() {
        store_.reset();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder_, ignored);
        }
    }

    std::string file(const std::string& name) const { return folder_ + "/" + name; }
    std::uint16_t store_port() const { return store_port_; }

    void put(const std::string& key, const std::string& value) const {
        const auto done = call(store_port_, "PUT /standin/key?key=" + escape(key) +
                                                " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                                                std::to_string(value.size()) + "\r\n\r\n" + value);
        if (done.head.status() != 200) {
            throw setup_error{"the store did not take " + key};
        }
    }
    void remove(const std::string& key) const {
        call(store_port_, "DELETE /standin/key?key=" + escape(key) + " HTTP/1.1\r\nHost: store\r\n\r\n");
    }

    /// Starts a router as the deploy file does.
    std::unique_ptr<process> start_router(const machine& on, const std::string& store = {}) const {
        std::ifstream input{root_ + "/deploy/router.toml.in"};
        std::stringstream text;
        text << input.rdbuf();
        std::string settings = text.str();
        const std::vector<std::pair<std::string, std::string>> fields{
            {"nodeName", on.name},
            {"region", "kr-south"},
            {"zone", on.zone},
            {"ipAddress", "127.0.0.1"},
            {"listenAddresses.front", "127.0.0.1:" + std::to_string(on.front)},
            {"listenAddresses.readyAddr", "127.0.0.1:" + std::to_string(on.ready)},
            {"internalPortRange.0", std::to_string(on.fleet)},
            {"platform.address", store.empty() ? "127.0.0.1:" + std::to_string(store_port_) : store},
            {"bounds.revokeMs", "5000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetExtraRetries", "52"},
            {"bounds.budgetWindowS", "10"},
            {"bounds.capacityMultiple", "2"},
            {"bounds.graceS", "8"}};
        for (const auto& [name, value] : fields) {
            const std::string placeholder = "{{" + name + "}}";
            for (auto at = settings.find(placeholder); at != std::string::npos;
                 at = settings.find(placeholder)) {
                settings.replace(at, placeholder.size(), value);
            }
        }
        if (settings.empty() || settings.find("{{") != std::string::npos) {
            throw setup_error{"the template of the settings has a field that this rig does not know"};
        }
        const std::string path = file(on.name + ".toml");
        std::ofstream{path} << settings;
        return std::make_unique<process>(std::vector<std::string>{root_ + "/target/bin/citronwickd",
                                                                  "--config", path, "--memory-mb", "260",
                                                                  "--descriptors", "4100"},
                                         file(on.name + ".log"));
    }

    /// Waits until a router has answered the platform's question with 200.
    void await_ready(const machine& on) const {
        for (int tries = 0; tries < 200; ++tries) {
            const auto told =
                call(on.ready, "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            if (told.head.status() == 200) {
                return;
            }
            sleep_for(milliseconds{50});
        }
        throw setup_error{on.name + " did not get ready"};
    }

private:
    static std::string escape(const std::string& key) {
        std::string escaped;
        for (const char each : key) {
            char code[4];
            std::snprintf(code, sizeof code, "%%%02x", static_cast<unsigned char>(each));
            escaped += code;
        }
        return escaped;
    }

    std::string root_;
    record& log_;
    std::string folder_;
    std::unique_ptr<process> store_;
    std::uint16_t store_port_ = 0;
};

inline machine new_machine(const std::string& name, const std::string& zone = "busan-a") {
    return {name, zone, free_port(), free_port(), free_port()};
}

/// The entry that a worker writes of itself.
inline std::string worker_entry(const std::string& service, std::uint16_t port, std::int64_t born, int slots,
                                const std::string& state = "ready", int sequence = 1) {
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
           "\",\"zone\":\"busan-a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" +
           state + "\",\"coldRemainingMs\":0,\"seq\":" + std::to_string(sequence) +
           ",\"born\":" + std::to_string(born) + "}";
}

/// Runs a case and turns what it returns into the exit code.
inline int run_case(const std::function<int()>& body) {
    ::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}

/// Whether the case shall bring its disruption about.
inline bool has_trouble() {
    const char* const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string{trouble} != "0";
}

} // namespace rig

#endif
