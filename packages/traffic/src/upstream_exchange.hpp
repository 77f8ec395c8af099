#ifndef CITRONWICK_TRAFFIC_UPSTREAM_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_UPSTREAM_EXCHANGE_HPP_INCLUDED

#include "citronwick/fleet/request_dialect.hpp"
#include "citronwick/policy/attempt_policy.hpp"
#include "citronwick/traffic/upstream_connection.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace citronwick {

/// Result of an attempt on one upstream.
struct exchange_result {
    attempt_outcome outcome = attempt_outcome::not_sent;
    std::string detail;     ///< for the log
    bool is_broken = false; ///< the connection failed before the response was complete
    bool is_local = false;  ///< caused by this router, not by the upstream
};

/// Sends a request to one upstream and reads the header of its response.
///
/// Tells the response from late copies of others that the upstream sends on the same connection.
/// Other responses bear the identifiers of other requests and are skipped, and the connection is
/// closed behind them. Copies that the identifier does not distinguish are ruled out: a connection
/// does not carry a request again that was refused or failed there, and none at all behind a
/// response without an identifier.
class upstream_exchange {
public:
    /// @param attempt_id identifier of the request; a response with another identifier is skipped
    /// @param request hash of the identifier, see `connection_pool::acquire`
    upstream_exchange(upstream_connection& connection, const request_dialect& dialect, std::string attempt_id,
                      std::uint64_t request)
        : connection_{connection}, dialect_{dialect}, attempt_id_{std::move(attempt_id)}, request_{request} {}

    /// Sends the request and reads the response header.
    /// @param max_body_bytes size limit of the response body, none for streams
    task<exchange_result> run(http::request_header<> header, std::shared_ptr<const std::string> body,
                              std::optional<std::uint64_t> max_body_bytes, time_point deadline);

    /// Traits of the last response header that was read.
    const response_traits& traits() const { return traits_; }

    /// Whether the upstream has responded to this request, and not another one that has
    /// got its address.
    bool has_response() const { return has_response_; }

    /// Responses to other requests that were skipped.
    int skipped_responses() const { return skipped_responses_; }

    /// Identifier of the request to which the last skipped response belongs, "-" if it has none.
    const std::string& last_skipped_id() const { return last_skipped_id_; }

    /// Whether the connection may be reused for another request.
    bool reusable() const { return skipped_responses_ == 0 && connection_.reusable(); }

private:
    exchange_result record_response(exchange_result result);
    exchange_result classify() const;
    bool states_not_run() const;
    /// Whether the response belongs to another request.
    bool should_skip_response() const;

    upstream_connection& connection_;
    const request_dialect& dialect_;
    std::string attempt_id_;
    std::uint64_t request_;
    response_traits traits_;
    bool has_response_ = false;
    int skipped_responses_ = 0;
    std::string last_skipped_id_{"-"};
};

} // namespace citronwick

#endif
