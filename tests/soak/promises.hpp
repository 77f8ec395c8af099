#ifndef CITRONWICK_TESTS_SOAK_PROMISES_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_PROMISES_HPP_INCLUDED

#include "http_call.hpp"
#include "node.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick::soak {

/// Kind of a request as the routes of the fleet under test have it.
enum class asked_kind : std::uint8_t { read, book, resumable, guide };

/// One request with what its caller saw.
struct asked_request {
    std::string attempt;
    asked_kind kind = asked_kind::read;
    std::string key; ///< of the team
    std::chrono::steady_clock::time_point sent_at;
    std::chrono::milliseconds took{0};
    bool router_was_well = true; ///< neither paused nor stopped while it was served
    harness::reply answer;
};

/// Checks what callers and workers saw against the promises to callers.
class promises {
public:
    /// @param key_lifetime bound on serving a key that was taken away
    explicit promises(std::chrono::milliseconds key_lifetime) : key_lifetime_{key_lifetime} {}

    /// Checks what can be said at once, and keeps the request for `settle`.
    void note(asked_request request);

    void key_was_taken(const std::string& key, std::chrono::steady_clock::time_point at);

    /// Adds a breach that the caller of this function found itself.
    void add_breach(std::string text);

    /// Checks all requests against the workers' own record of what they ran.
    void settle(const std::deque<harness::node>& plain_workers, const std::deque<harness::node>& engines);

    std::vector<std::string> breaches() const;
    std::size_t asked() const;
    std::map<unsigned, std::size_t> statuses() const;

private:
    void breach(const asked_request& request, std::string_view what);
    void check_body(const asked_request& request);
    void check_runs(const asked_request& request, std::int64_t runs);

    std::chrono::milliseconds key_lifetime_;
    mutable std::mutex mutex_;
    std::vector<asked_request> requests_;
    std::map<std::string, std::chrono::steady_clock::time_point> taken_keys_;
    std::vector<std::string> breaches_;
};

} // namespace citronwick::soak

#endif
