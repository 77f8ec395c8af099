#include "citronwick/io/accept_failures.hpp"

#include "citronwick/io/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/errc.hpp>

namespace citronwick {

namespace {

/// Wait after a failure that is not one of a single connection.
constexpr std::chrono::milliseconds retry_delay{50};
constexpr std::chrono::seconds log_interval{1};

} // namespace

bool concerns_single_connection(const boost::system::error_code& error) {
    namespace errc = boost::system::errc;
    // accept(2) also returns network errors that are pending on the new connection.
    constexpr std::array errors{errc::connection_aborted,  errc::protocol_error,
                                errc::interrupted,         errc::network_down,
                                errc::network_unreachable, errc::host_unreachable,
                                errc::no_protocol_option,  errc::operation_not_permitted,
                                errc::timed_out,           errc::connection_reset};
    return std::ranges::any_of(errors, [&](errc::errc_t each) { return error == each; });
}

task<void> accept_failures::handle(boost::system::error_code error, time_point now) {
    if (error == asio::error::operation_aborted) {
        co_return;
    }
    count_.fetch_add(1, std::memory_order_relaxed);
    log(error, now);
    if (concerns_single_connection(error)) {
        co_return;
    }
    asio::steady_timer timer{co_await asio::this_coro::executor, retry_delay};
    [[maybe_unused]] const auto waited = co_await timer.async_wait(use_tuple);
}

void accept_failures::log(const boost::system::error_code& error, time_point now) {
    if (logged_at_ && now - *logged_at_ < log_interval) {
        return;
    }
    logged_at_ = now;
    log_warn("accept_failed",
             {{"listener", listener_}, {"detail", error.message()}, {"failures", std::to_string(count())}});
}

} // namespace citronwick
