#ifndef CITRONWICK_TRAFFIC_UPSTREAM_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_UPSTREAM_EXCHANGE_HPP_INCLUDED

#include "citronwick/fleet/request_dialect.hpp"
#include "citronwick/policy/attempt_policy.hpp"
#include "citronwick/traffic/upstream_connection.hpp"

#include <memory>
#include <optional>
#include <string>

namespace citronwick {

/// The start of an answer, or why there is none.
struct exchange_result {
    attempt_outcome outcome = attempt_outcome::not_sent;
    std::string detail;     ///< for the log
    bool is_broken = false; ///< the connection ended before the answer did
};

/// One sending of a request to one upstream, up to the header of its answer.
///
/// Answers to other requests that arrive late on the connection are skipped.
class upstream_exchange {
public:
    /// @param attempt_id of the request; an answer that bears another one is not its answer
    upstream_exchange(upstream_connection& connection, const request_dialect& dialect, std::string attempt_id)
        : connection_{connection}, dialect_{dialect}, attempt_id_{std::move(attempt_id)} {}

    /// Sends the request and reads the header of its answer.
    /// @param answer_limit largest body in bytes, none for streams
    task<exchange_result> run(http_request request, std::optional<std::uint64_t> answer_limit,
                              time_point deadline);

    /// Fields of the answer, where there is one.
    const response_traits& traits() const { return traits_; }

    /// Whether the connection may carry another request after this one.
    bool reusable() const { return !is_spoilt_ && connection_.reusable(); }

private:
    exchange_result classify() const;
    bool is_foreign() const;

    upstream_connection& connection_;
    const request_dialect& dialect_;
    std::string attempt_id_;
    response_traits traits_;
    bool is_spoilt_ = false; ///< bytes of another answer arrived on it
};

} // namespace citronwick

#endif
