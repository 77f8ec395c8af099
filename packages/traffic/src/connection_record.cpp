#include "citronwick/traffic/connection_record.hpp"

#include "citronwick/io/log.hpp"
#include "citronwick/io/unhandled_exceptions.hpp"
#include "citronwick/traffic/caller.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <utility>

namespace citronwick {

namespace {

constexpr std::array<std::string_view, 12> names{
    "closed-by-caller",    "reset-by-caller", "idle-timeout", "planned-stop",  "after-response",
    "incomplete-request",  "refused",         "caller-left",  "write-timeout", "write-error",
    "incomplete-response", "exception"};

constexpr std::array unfinished{connection_end::incomplete_request,  connection_end::caller_left,
                                connection_end::write_timeout,       connection_end::write_error,
                                connection_end::incomplete_response, connection_end::exception};

connection_end end_of(const caller& last) {
    if (last.response_complete()) {
        return connection_end::after_response;
    }
    if (last.write_error() == boost::beast::error::timeout) {
        return connection_end::write_timeout;
    }
    if (last.disconnected()) {
        return connection_end::caller_left;
    }
    return last.write_error() ? connection_end::write_error : connection_end::incomplete_response;
}

} // namespace

std::string_view to_text(connection_end value) {
    return names.at(static_cast<std::size_t>(value));
}

bool leaves_request_unfinished(connection_end value) {
    return std::ranges::find(unfinished, value) != unfinished.end();
}

void connection_record::end_after(const caller& last, const std::exception_ptr& exception) {
    end_ = exception ? connection_end::exception : end_of(last);
    request_ = last.request_id();
    response_bytes_ = last.bytes_written();
    if (exception) {
        detail_ = describe(exception);
    } else if (last.write_error()) {
        detail_ = last.write_error().message();
    }
}

void connection_record::end_while_idle(const boost::system::error_code& error) {
    if (error == boost::beast::error::timeout) {
        end_ = connection_end::idle_timeout;
    } else if (error == boost::asio::error::operation_aborted) {
        end_ = connection_end::planned_stop;
    } else {
        end_ = error == boost::asio::error::eof ? connection_end::closed_by_caller
                                                : connection_end::reset_by_caller;
    }
}

void connection_record::end_within_request(const boost::system::error_code& error) {
    end_ = connection_end::incomplete_request;
    detail_ = error.message();
}

void connection_record::end_with_refusal(std::string detail) {
    end_ = connection_end::refused;
    detail_ = std::move(detail);
}

void connection_record::log() const {
    const auto write = end_ == connection_end::exception ? &log_warn
                       : leaves_request_unfinished(end_) ? &log_info
                                                         : &log_debug;
    write("connection_ended", {{"request", request_},
                               {"cause", std::string{to_text(end_)}},
                               {"requests_served", std::to_string(requests_)},
                               {"response_bytes", std::to_string(response_bytes_)},
                               {"detail", detail_}});
}

} // namespace citronwick
