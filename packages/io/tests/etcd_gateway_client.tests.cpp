#include "citronwick/io/etcd_gateway_client.hpp"

#include "citronwick/io/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

using asio::ip::tcp;

task<void> respond_once(tcp::acceptor& acceptor, std::string body) {
    tcp::socket connection = co_await acceptor.async_accept(asio::use_awaitable);
    boost::beast::flat_buffer buffer;
    http_request request;
    auto [read_error, read] = co_await http::async_read(connection, buffer, request, use_tuple);
    http_response response{http::status::ok, 11};
    response.body() = std::move(body);
    response.prepare_payload();
    auto [write_error, written] = co_await http::async_write(connection, response, use_tuple);
}

/// Result of a call to a service that responds with a body.
template <class Call>
auto result_of(std::string body, Call call) {
    asio::io_context context;
    tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    const auto client =
        make_etcd_gateway_client(context.get_executor(), {to_endpoint(acceptor.local_endpoint())}, 2s);
    asio::co_spawn(context, respond_once(acceptor, std::move(body)), asio::detached);
    auto result = asio::co_spawn(context, call(*client), asio::use_future);
    context.run_for(5s);
    return result.get();
}

} // namespace

TEST_CASE("odd members of the key-value service's responses count as missing") {
    const auto read = [](kv_client& client) { return client.read("k"); };
    for (const char* const body :
         {"{}", R"({"kvs":7})", R"({"kvs":[]})", R"({"kvs":[7]})", R"({"kvs":{"value":"YQ=="}})"}) {
        CAPTURE(body);
        const auto entry = result_of(body, read);
        REQUIRE(entry.has_value());
        CHECK_FALSE(entry->has_value());
    }
    const auto entry = result_of(R"({"kvs":[{"value":"?","mod_revision":[],"create_revision":"x"}]})", read);
    REQUIRE(entry.has_value());
    REQUIRE(entry->has_value());
    CHECK((*entry)->value.empty());
    CHECK((*entry)->mod_revision == 0);
    for (const char* const body : {"[]", "7", "{", "\xff", ""}) {
        CAPTURE(body);
        CHECK(result_of(body, read).has_error());
    }
}

TEST_CASE("a lease that the key-value service does not name is none") {
    const auto grant = [](kv_client& client) { return client.grant_lease(60s); };
    const auto granted = result_of(R"({"ID":"77","TTL":"60"})", grant);
    REQUIRE(granted.has_value());
    CHECK(granted->id == 77);
    for (const char* const body :
         {"{}", R"({"ID":"0","TTL":"60"})", R"({"ID":-7})", R"({"ID":[77]})", R"({"ID":1e300})"}) {
        CAPTURE(body);
        CHECK(result_of(body, grant).has_error());
    }
}

TEST_CASE("a write to the key-value service whose response names no revision may have taken effect") {
    const auto write = [](kv_client& client) { return client.compare_and_swap("k", 1, "v", 0); };
    const auto written = result_of(R"({"succeeded":true,"header":{"revision":"8"}})", write);
    REQUIRE(written.has_value());
    CHECK(written->succeeded);
    const auto unnamed = result_of(R"({"succeeded":true,"header":7})", write);
    REQUIRE(unnamed.has_error());
    CHECK(unnamed.error().may_have_taken_effect);
    const auto refused = result_of(R"({"succeeded":"yes","responses":[{"response_range":7}]})", write);
    REQUIRE(refused.has_value());
    CHECK_FALSE(refused->succeeded);
    CHECK_FALSE(refused->current);
}
