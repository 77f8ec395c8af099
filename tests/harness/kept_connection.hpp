#ifndef CITRONWICK_TESTS_HARNESS_KEPT_CONNECTION_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_KEPT_CONNECTION_HPP_INCLUDED

#include "http_call.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace citronwick::harness {

/// A caller's connection on which several requests are sent, in bytes that the test chooses.
class kept_connection {
public:
    explicit kept_connection(const endpoint& peer);
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;
    ~kept_connection();

    /// @return whether all bytes were taken
    bool send(const std::string& bytes);

    /// Reads the next response, with interim ones before it left out.
    /// @param is_head whether it answers a HEAD request and has no body
    reply read_reply(bool is_head = false, std::chrono::milliseconds timeout = std::chrono::seconds{10});

    /// Sends a request and reads its response.
    reply ask(const std::string& bytes);

    /// Ends the sending direction; responses can still be read.
    void finish_sending();

    /// Closes the connection with a reset.
    void reset();

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

/// Formats a request without a connection field.
std::string to_bytes(const call& request);

} // namespace citronwick::harness

#endif
