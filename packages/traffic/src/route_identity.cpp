// Makes sure that a stream goes on at the process of which its upstream's entry tells.

#include "citronwick/io/log.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// An upstream that does not report on itself in time is left for another one.
constexpr std::chrono::milliseconds report_timeout = 200ms;
constexpr std::uint64_t max_report_bytes = 1'048'576;
constexpr unsigned http_1_1 = 11;

/// An upstream's report on itself.
struct upstream_report {
    response_traits traits;
    std::string body;
};

task<io_result<upstream_report>> ask_for_report(upstream_connection& connection,
                                                const request_dialect& dialect, time_point deadline) {
    http_request request{http::verb::get, dialect.report_target(), http_1_1};
    const auto timeout = std::max(std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now()), 1ms);
    auto sent = co_await connection.send(std::move(request), timeout);
    if (sent.has_error()) {
        co_return sent.error();
    }
    auto read = co_await connection.read_header(max_report_bytes, timeout);
    if (read.has_error()) {
        co_return read.error();
    }
    auto body = co_await connection.read_all(timeout, deadline);
    if (body.has_error()) {
        co_return body.error();
    }
    co_return upstream_report{dialect.read_response(connection.header()), std::move(*body)};
}

} // namespace

/// Asks the process that serves a connection when it started, if a stream is to go on there.
///
/// An upstream may start again under its identifier and address as another software version. Until its
/// entry tells so, only the process itself can. A platform whose upstreams get a new identifier with
/// each start names no start, and such upstreams are not asked.
task<void> route_exchange::check_identity(std::unique_ptr<upstream_connection>& connection,
                                          exchange_result& result) {
    const upstream_entry& entry = placement_->upstream.entry;
    const bool goes_on = takes_up_stream() || position_.events() > 0;
    if (!goes_on || entry.incarnation == 0 || context_.dialect.report_target().empty()) {
        co_return;
    }
    const auto deadline = clock::now() + std::clamp(remaining_time(clock::now()), 1ms, report_timeout);
    const auto report = co_await ask_for_report(*connection, context_.dialect, deadline);
    if (report.has_error() || !report->traits.attempt_id.empty()) {
        connection->close();
        result = {attempt_outcome::not_sent, "the upstream did not report on itself", false, true};
        co_return;
    }
    const auto incarnation = context_.dialect.read_incarnation(report->body);
    if (incarnation && *incarnation != entry.incarnation) {
        connection->close();
        result = {attempt_outcome::not_sent, "the upstream has started again"};
        log_info("upstream_started_again", {{"request", caller_.request_id()},
                                            {"upstream", entry.id},
                                            {"incarnation", std::to_string(entry.incarnation)},
                                            {"reported", std::to_string(*incarnation)}});
        co_return;
    }
    note_response_of_process(*connection);
    if (incarnation && connection->reusable()) {
        connection->record_unidentified_response();
        is_new_connection_ = false;
        co_return;
    }
    // The request is sent on another connection, as nothing is known of what answers here.
    connection->close();
    connection = acquire_connection(clock::now());
    active_connection_ = connection.get();
    co_await connect_if_needed(*connection, result);
}

} // namespace citronwick
