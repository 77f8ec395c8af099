#ifndef CITRONWICK_TESTS_HARNESS_HTTP_CALL_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_HTTP_CALL_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace citronwick::harness {

/// An HTTP request to send.
struct call {
    std::string method = "GET";
    std::string target = "/";
    std::string body{};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::chrono::milliseconds timeout{20'000};
};

/// The response to a call, or the error that prevented one.
struct reply {
    unsigned status = 0; ///< 0 if no complete header arrived
    std::string body{};
    std::map<std::string, std::string> headers{}; ///< by lower-case name, including trailers
    std::string error{};                          ///< empty if the framing shows a complete response

    std::string header(const std::string& name) const;
};

/// Sends a request on a new connection and reads the response.
reply http_call(const endpoint& peer, const call& request);

/// Sends raw bytes and reads until the peer closes the connection or the timeout expires.
std::string raw_call(const endpoint& peer, const std::string& bytes,
                     std::chrono::milliseconds timeout = std::chrono::seconds{5});

/// Sends a request on a new connection, reads at least `bytes` bytes of the
/// response and closes the connection.
void call_and_disconnect(const endpoint& peer, const call& request, std::size_t bytes);

/// A caller that sends a request and never reads the response.
class stalled_caller {
public:
    stalled_caller(const endpoint& peer, const call& request);
    stalled_caller(const stalled_caller&) = delete;
    stalled_caller& operator=(const stalled_caller&) = delete;
    ~stalled_caller();

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

} // namespace citronwick::harness

#endif
