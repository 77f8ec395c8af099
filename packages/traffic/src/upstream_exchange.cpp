#include "upstream_exchange.hpp"

namespace citronwick {

namespace {

/// Responses to other requests that are skipped before giving up the connection.
constexpr int max_skipped_responses = 2;
constexpr std::uint64_t max_skipped_response_bytes = 1'048'576;

std::chrono::milliseconds time_until(time_point deadline, time_point now) {
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(deadline - now),
                    std::chrono::milliseconds{1});
}

constexpr unsigned misdirected = 421;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;

} // namespace

task<exchange_result> upstream_exchange::run(http::request_header<> header,
                                             std::shared_ptr<const std::string> body,
                                             std::optional<std::uint64_t> max_body_bytes,
                                             time_point deadline) {
    connection_.start_send(std::move(header), std::move(body), time_until(deadline, clock::now()));
    while (skipped_responses_ <= max_skipped_responses) {
        auto read = co_await connection_.read_header(max_body_bytes, time_until(deadline, clock::now()));
        if (read.has_error()) {
            co_return exchange_result{attempt_outcome::may_have_run, to_text(read.error()), true};
        }
        traits_ = dialect_.read_response(connection_.header());
        if (!should_skip_response()) {
            has_response_ = connection_.status() != misdirected || traits_.is_signed;
            co_return record_response(classify());
        }
        ++skipped_responses_;
        last_skipped_id_ = traits_.attempt_id.empty() ? "-" : traits_.attempt_id;
        if (connection_.has_carried_head()) {
            break;
        }
        auto skipped = co_await connection_.read_all(time_until(deadline, clock::now()), deadline);
        if (skipped.has_error() || skipped->size() > max_skipped_response_bytes) {
            break;
        }
    }
    connection_.close();
    co_return exchange_result{attempt_outcome::may_have_run, "only answers to other requests arrived"};
}

bool upstream_exchange::should_skip_response() const {
    const bool has_other_id = !traits_.attempt_id.empty() && traits_.attempt_id != attempt_id_;
    return has_other_id || (traits_.attempt_id.empty() && !states_not_run() && traits_.is_signed);
}

/// Whether the response states that the request has not run. A 421 response does so without
/// a mark if it comes from another upstream, which has got the address and signs nothing.
bool upstream_exchange::states_not_run() const {
    return traits_.is_not_run || (connection_.status() == misdirected && !traits_.is_signed);
}

/// Records what copies of the response might do to later requests on the connection. A request
/// that was refused or failed may be sent again.
exchange_result upstream_exchange::record_response(exchange_result result) {
    if (traits_.attempt_id.empty()) {
        connection_.record_unidentified_response();
    } else if (result.outcome != attempt_outcome::answered || reports_failure(connection_.status())) {
        connection_.record_refusal(request_);
    }
    return result;
}

exchange_result upstream_exchange::classify() const {
    const unsigned status = connection_.status();
    const std::string text = "status " + std::to_string(status) +
                             (traits_.attempt_id.empty() ? " without request identifier" : "");
    if (states_not_run()) {
        return {attempt_outcome::not_run, text};
    }
    if (status >= first_server_error) {
        return {attempt_outcome::failed_run, text};
    }
    const bool is_success = status >= first_success && status < first_redirect;
    if (is_success && (!traits_.is_signed || traits_.is_encoded)) {
        return {attempt_outcome::may_have_run, text + " without proof or in another encoding"};
    }
    return {attempt_outcome::answered, text};
}

} // namespace citronwick
