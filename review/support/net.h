#ifndef REVIEW_NET_HPP_INCLUDED
#define REVIEW_NET_HPP_INCLUDED

// Small blocking HTTP/1.1 over loopback sockets, for stand-ins and clients.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr const char* loopback = "127.0.0.1";

inline sockaddr_in loopback_address(std::uint16_t port, const char* ip = loopback) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

inline std::uint16_t port_of(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline int open_bound(int type) {
    const int opened = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto address = loopback_address(0);
    if (opened < 0 || bind(opened, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        throw std::runtime_error{"no free port"};
    }
    return opened;
}

/// A port that was free a moment ago, for TCP and UDP.
inline std::uint16_t free_port() {
    const int opened = open_bound(SOCK_STREAM);
    const std::uint16_t port = port_of(opened);
    close(opened);
    return port;
}

/// A connected socket with a read buffer. Closed on destruction.
class connection {
public:
    explicit connection(int opened) : socket_{opened} {
        const int on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    static std::unique_ptr<connection> open(std::uint16_t port, const std::string& ip = loopback) {
        const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback_address(port, ip.c_str());
        if (connect(opened, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(opened);
            return nullptr;
        }
        return std::make_unique<connection>(opened);
    }

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads more bytes into the buffer. @return false at the end, on an error or after the deadline
    bool fill(clock::time_point deadline) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        pollfd wanted{socket_, POLLIN, 0};
        if (left < 0 || poll(&wanted, 1, static_cast<int>(left)) <= 0) {
            timed_out_ = true;
            return false;
        }
        char bytes[65536];
        const auto size = recv(socket_, bytes, sizeof bytes, 0);
        was_reset_ = size < 0;
        if (size <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    /// Closes with a reset.
    void reset() {
        const linger now{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    void close() {
        if (socket_ >= 0) {
            ::close(std::exchange(socket_, -1));
        }
    }

    /// IP address of the other end.
    std::string peer() const {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size);
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
        return text;
    }

    int socket() const { return socket_; }
    bool timed_out() const { return timed_out_; }
    bool was_reset() const { return was_reset_; }

    std::string buffer; ///< received and not yet taken
    int mark = -1;      ///< for the server's own use

private:
    static int socket(int domain, int type, int protocol) { return ::socket(domain, type, protocol); }

    int socket_;
    bool timed_out_ = false;
    bool was_reset_ = false;
};

inline bool same_name(const std::string& left, const std::string& right) {
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

/// A request or a response.
struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool has_header = false;
    bool is_whole = false;

    std::string field(const std::string& name) const {
        for (const auto& [each, value] : fields) {
            if (same_name(each, name)) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string& name) const {
        for (const auto& each : fields) {
            if (same_name(each.first, name)) {
                return true;
            }
        }
        return false;
    }
    std::string word(int index) const {
        std::size_t begin = 0;
        for (; index > 0; --index) {
            begin = start_line.find(' ', begin) + 1;
        }
        return start_line.substr(begin, start_line.find(' ', begin) - begin);
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    /// Status of a response, 0 if the start line is none.
    int status() const {
        const bool is_response = start_line.rfind("HTTP/1.", 0) == 0 && start_line.size() >= 12;
        return is_response ? std::atoi(start_line.substr(9, 3).c_str()) : 0;
    }
};

/// Reads the start line and the fields.
inline bool read_header(connection& from, message& into, clock::time_point deadline) {
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.fill(deadline)) {
            return false;
        }
    }
    std::string text = from.buffer.substr(0, end + 2);
    from.buffer.erase(0, end + 4);
    std::size_t begin = text.find("\r\n");
    into.start_line = text.substr(0, begin);
    for (begin += 2; begin < text.size();) {
        const auto line_end = text.find("\r\n", begin);
        const auto colon = text.find(':', begin);
        if (colon != std::string::npos && colon < line_end) {
            auto value = text.find_first_not_of(' ', colon + 1);
            value = std::min(value, line_end);
            into.fields.emplace_back(text.substr(begin, colon - begin), text.substr(value, line_end - value));
        }
        begin = line_end + 2;
    }
    into.has_header = true;
    return true;
}

inline bool take(connection& from, std::size_t size, std::string& into, clock::time_point deadline) {
    while (from.buffer.size() < size) {
        if (!from.fill(deadline)) {
            return false;
        }
    }
    into.append(from.buffer, 0, size);
    from.buffer.erase(0, size);
    return true;
}

/// Reads the body that the header announces.
/// @param is_response whether a missing length means "until the end of the connection"
inline bool read_body(connection& from, message& into, bool is_response, clock::time_point deadline) {
    if (same_name(into.field("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t end = 0;
            while ((end = from.buffer.find("\r\n")) == std::string::npos) {
                if (!from.fill(deadline)) {
                    return false;
                }
            }
            const auto size = std::stoul(from.buffer.substr(0, end), nullptr, 16);
            from.buffer.erase(0, end + 2);
            std::string ignored;
            if (!take(from, size, into.body, deadline) || !take(from, 2, ignored, deadline)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    if (into.has("Content-Length")) {
        return take(from, std::stoul(into.field("Content-Length")), into.body, deadline);
    }
    if (is_response) {
        while (from.fill(deadline)) {
        }
        into.body = std::exchange(from.buffer, {});
        return !from.was_reset() && !from.timed_out();
    }
    return true;
}

inline message read_request(connection& from, clock::time_point deadline) {
    message request;
    request.is_whole = read_header(from, request, deadline) && read_body(from, request, false, deadline);
    return request;
}

/// Reads a response as a client must: one to HEAD, 204 and 304 have no body.
inline message read_response(connection& from, const std::string& method, clock::time_point deadline) {
    message response;
    if (!read_header(from, response, deadline)) {
        return response;
    }
    const int status = response.status();
    const bool has_no_body = method == "HEAD" || status == 204 || status == 304;
    response.is_whole = has_no_body || read_body(from, response, true, deadline);
    return response;
}

inline std::string format(const std::string& start_line,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body, bool with_length = true) {
    std::string text = start_line + "\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (with_length) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// Serves each connection on a thread of its own. The handler returns whether to keep it open.
class server {
public:
    using handler = std::function<bool(connection&, const message&)>;

    explicit server(handler handle) : handle_{std::move(handle)}, listener_{open_bound(SOCK_STREAM)} {
        listen(listener_, 512);
        port_ = port_of(listener_);
        std::thread{[this] { accept_all(); }}.detach();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return std::string{loopback} + ":" + std::to_string(port_); }

private:
    void accept_all() {
        while (true) {
            const int opened = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (opened < 0) {
                return;
            }
            std::thread{[this, opened] {
                connection from{opened};
                while (true) {
                    const message request = read_request(from, clock::now() + std::chrono::minutes{5});
                    if (!request.has_header || !handle_(from, request)) {
                        return;
                    }
                }
            }}.detach();
        }
    }

    handler handle_;
    int listener_;
    std::uint16_t port_ = 0;
};

} // namespace review

#endif
