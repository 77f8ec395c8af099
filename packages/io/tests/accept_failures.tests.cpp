#include "citronwick/io/accept_failures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/errc.hpp>
#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

duration handling_time(accept_failures& failures, const boost::system::error_code& error) {
    asio::io_context context;
    const auto started = clock::now();
    asio::co_spawn(context, failures.handle(error, started),
                   [](const std::exception_ptr& exception) { CHECK(exception == nullptr); });
    context.run();
    return clock::now() - started;
}

} // namespace

TEST_CASE("a lack of resources delays the next accept, a failed connection does not") {
    namespace errc = boost::system::errc;
    accept_failures failures{"test"};
    for (const auto error : {errc::too_many_files_open, errc::too_many_files_open_in_system,
                             errc::no_buffer_space, errc::not_enough_memory, errc::invalid_argument}) {
        CHECK_FALSE(concerns_single_connection(errc::make_error_code(error)));
    }
    for (const auto error : {errc::connection_aborted, errc::protocol_error, errc::host_unreachable}) {
        CHECK(concerns_single_connection(errc::make_error_code(error)));
    }
    CHECK(handling_time(failures, errc::make_error_code(errc::too_many_files_open)) >= 10ms);
    CHECK(failures.count() == 1);
    handling_time(failures, errc::make_error_code(errc::connection_aborted));
    CHECK(failures.count() == 2);
}

TEST_CASE("closing a listener is no failure") {
    accept_failures failures{"test"};
    handling_time(failures, asio::error::make_error_code(asio::error::operation_aborted));
    CHECK(failures.count() == 0);
}
