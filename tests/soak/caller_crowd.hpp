#ifndef CITRONWICK_TESTS_SOAK_CALLER_CROWD_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_CALLER_CROWD_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace citronwick::soak {

/// Callers that connect, send the same bytes and then keep their connections open.
class caller_crowd {
public:
    /// @param bytes what each caller sends, less than a request
    caller_crowd(const endpoint& peer, std::size_t callers, std::string bytes);
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;
    ~caller_crowd();

    /// Sends until all bytes are sent, as far as the peer takes them within the time.
    void send(std::chrono::milliseconds time);

    std::size_t connected() const { return callers_.size(); }

private:
    struct caller {
        int socket = -1;
        std::size_t sent = 0;
    };

    bool send_some(caller& from) const;

    std::string bytes_;
    std::vector<caller> callers_;
};

/// Bytes of a request whose body lacks its last byte.
std::string make_unfinished_request(std::size_t body_bytes);

} // namespace citronwick::soak

#endif
