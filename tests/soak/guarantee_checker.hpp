#ifndef CITRONWICK_TESTS_SOAK_GUARANTEE_CHECKER_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_GUARANTEE_CHECKER_HPP_INCLUDED

#include "http_call.hpp"
#include "node.hpp"
#include "received_stream.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick::soak {

/// Kinds of requests that the routes of the fleet under test declare.
enum class request_kind : std::uint8_t { read, book, resumable, guide };

/// A request and what its caller observed.
struct observed_request {
    std::string attempt;
    request_kind kind = request_kind::read;
    std::string key;    ///< API key of the team
    std::string router; ///< name of the one that it was sent to
    std::string stream; ///< attempt that brought the first event of the stream that is taken up, if any
    std::optional<std::int64_t>
        branches_at{};    ///< last event that it named, if others take up the stream, too
    bool gave_up = false; ///< the caller may have closed the connection
    std::chrono::steady_clock::time_point sent_at;
    std::chrono::milliseconds elapsed{0};
    bool router_was_undisturbed = true; ///< neither paused nor stopped meanwhile
    bool router_had_to_answer = true;   ///< neither paused nor killed meanwhile, nor at the end of its grace
    bool upstreams_were_undisturbed = true; ///< nor the links to them
    bool links_were_silent = false;         ///< between routers and upstreams, for a while
    std::chrono::milliseconds deadline{0};
    bool was_sent = true; ///< whole, before the router closed the connection
    bool reused_connection = false;
    harness::reply response;
};

/// Checks what callers and workers observed against the guarantees to callers.
class guarantee_checker {
public:
    /// @param key_lifetime how long a revoked key may still be served
    explicit guarantee_checker(std::chrono::milliseconds key_lifetime) : key_lifetime_{key_lifetime} {}

    /// Checks the response, and keeps the request for `check_run_counts`.
    void record(observed_request request);

    /// The last event that the caller of a stream has, if the stream began and is not complete.
    /// @param stream the attempt that brought its first event
    std::optional<std::int64_t> last_event_of_broken(const std::string& stream) const;

    /// Requests that took up a stream, and those of them that completed it.
    struct take_up_counts {
        std::size_t asked = 0;
        std::size_t completed = 0;
    };
    take_up_counts take_ups() const;

    /// Requests while upstreams were undisturbed, whose responses may not be incomplete.
    std::size_t undisturbed_count() const;

    void record_revoked_key(const std::string& key, std::chrono::steady_clock::time_point at);

    /// Adds a violation that was found outside this class.
    void add_violation(std::string text);

    /// Checks all requests against what the workers' logs say that they ran. The logs have the runs of
    /// killed processes, too.
    /// @param directory that has the logs
    void check_run_counts(const std::string& directory);

    /// Requests that may be repeated and ran more than three times, as `check_run_counts` has found. Runs at
    /// workers that were killed count too, so that it is a hint at BUDGET only.
    std::size_t often_repeated() const;

    std::vector<std::string> violations() const;
    std::size_t request_count() const;
    std::map<unsigned, std::size_t> statuses() const;

private:
    void add_request_violation(const observed_request& request, std::string_view description);
    void check_silence(const observed_request& request);
    void check_body(const observed_request& request);
    void check_stream(const observed_request& request, bool is_complete);
    void check_answered(const observed_request& request);
    void check_run_count(const observed_request& request, std::int64_t runs);

    std::chrono::milliseconds key_lifetime_;
    mutable std::mutex mutex_;
    std::vector<observed_request> requests_;
    std::map<std::string, received_stream> streams_; ///< by the attempt that brought the first event
    std::map<std::string, std::chrono::steady_clock::time_point> revoked_keys_;
    std::vector<std::string> violations_;
    std::size_t often_repeated_ = 0;
};

} // namespace citronwick::soak

#endif
