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

/// Request of a test.
struct call {
    std::string method = "GET";
    std::string target = "/";
    std::string body{};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::chrono::milliseconds timeout{20'000};
};

/// What came back.
struct reply {
    unsigned status = 0; ///< 0 where no whole header arrived
    std::string body{};
    std::map<std::string, std::string> headers{}; ///< names in lower case, trailers included
    std::string error{};                          ///< empty where the framing says that the answer is whole

    std::string header(const std::string& name) const;
};

/// Makes a call on a connection of its own.
reply http_call(const endpoint& peer, const call& request);

/// Sends bytes as they are and reads until the other end closes.
std::string raw_call(const endpoint& peer, const std::string& bytes,
                     std::chrono::milliseconds timeout = std::chrono::seconds{5});

/// Opens a connection, sends a call, reads at least `bytes` bytes of the
/// answer and closes the connection.
void call_and_hang_up(const endpoint& peer, const call& request, std::size_t bytes);

/// A caller that sends a request and never reads the answer.
class slow_caller {
public:
    slow_caller(const endpoint& peer, const call& request);
    slow_caller(const slow_caller&) = delete;
    slow_caller& operator=(const slow_caller&) = delete;
    ~slow_caller();

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

} // namespace citronwick::harness

#endif
