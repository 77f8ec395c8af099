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

    /// What each caller has received, read until nothing arrived on any of them for `quiet`.
    std::vector<std::string> received(std::chrono::milliseconds quiet);

private:
    struct connections;
    std::unique_ptr<connections> connections_;
};

} // namespace citronwick::harness

#endif
