#ifndef CITRONWICK_TESTS_HARNESS_HELD_CALLERS_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_HELD_CALLERS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace citronwick::harness {

/// Connections of callers that stay open until the object is destroyed.
class held_callers {
public:
    /// Opens the connections one after the other. Each sends the same bytes, which may be less
    /// than a request.
    held_callers(const endpoint& peer, std::size_t count, std::string bytes);
    held_callers(const held_callers&) = delete;
    held_callers& operator=(const held_callers&) = delete;
    ~held_callers();

    /// Sends further bytes on each connection.
    void send(const std::string& bytes);

    /// What each caller has received. Waits until each has the header of a response or its
    /// connection has ended.
    std::vector<std::string> answers(std::chrono::milliseconds timeout = std::chrono::seconds{20});

private:
    struct connections;
    std::unique_ptr<connections> connections_;
};

} // namespace citronwick::harness

#endif
