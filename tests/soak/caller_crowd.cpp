#include "caller_crowd.hpp"

#include "waiting.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace citronwick::soak {

namespace {

/// @return -1 if there is no connection
int connect_to(const endpoint& peer) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return socket;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    ::inet_pton(AF_INET, peer.ip.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace

caller_crowd::caller_crowd(const endpoint& peer, std::size_t callers, std::string bytes)
    : bytes_{std::move(bytes)} {
    for (std::size_t index = 0; index < callers; ++index) {
        const int socket = connect_to(peer);
        if (socket >= 0) {
            callers_.push_back({.socket = socket});
        }
    }
}

caller_crowd::~caller_crowd() {
    std::ranges::for_each(callers_, [](const caller& each) { ::close(each.socket); });
}

void caller_crowd::send(std::chrono::milliseconds time) {
    harness::wait_until(
        [this] {
            const auto sent_all = [this](caller& each) { return send_some(each); };
            // Each caller sends, also after one that could not.
            return std::ranges::count_if(callers_, sent_all) == std::ssize(callers_);
        },
        time);
}

/// @return whether there is nothing left to send, also if the peer has closed the connection
bool caller_crowd::send_some(caller& from) const {
    while (from.sent < bytes_.size()) {
        const auto size =
            ::send(from.socket, bytes_.data() + from.sent, bytes_.size() - from.sent, MSG_NOSIGNAL);
        if (size < 0) {
            return errno != EAGAIN && errno != ENOTCONN;
        }
        from.sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string make_unfinished_request(std::size_t body_bytes) {
    return "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: club-key\r\n"
           "Citronwick-Attempt-Id: unfinished\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes - 1, 'x');
}

} // namespace citronwick::soak
