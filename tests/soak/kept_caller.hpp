#ifndef CITRONWICK_TESTS_SOAK_KEPT_CALLER_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_KEPT_CALLER_HPP_INCLUDED

#include "http_call.hpp"

#include <memory>

namespace citronwick::soak {

/// A caller that keeps its connection for as long as the other end does.
class kept_caller {
public:
    explicit kept_caller(endpoint peer);
    kept_caller(const kept_caller&) = delete;
    kept_caller& operator=(const kept_caller&) = delete;
    ~kept_caller();

    /// Makes a call; connects first where there is no connection.
    harness::reply ask(const harness::call& request);

private:
    struct connection;
    endpoint peer_;
    std::unique_ptr<connection> open_;
};

} // namespace citronwick::soak

#endif
