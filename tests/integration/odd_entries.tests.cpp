// Keys and entries in the store that another writer has put there.

#include "http_call.hpp"
#include "routed_fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <doctest/doctest.h>
#include <mutex>
#include <string>
#include <vector>

using namespace citronwick;
using namespace citronwick::harness;
using namespace std::chrono_literals;

namespace {

/// Makes the stand-in store put each key on a page of its own.
constexpr const char* single_item_pages = R"({"page_items":1})";

/// Names that no header field can carry.
const std::vector<std::string> unusable_names{"a\r\nX-Injected: yes", "a\nX-Injected: yes", "a\x01", " a",
                                              "a "};

/// Names that sort before those of the workers.
const std::vector<std::string> odd_names{
    "a&b",
    "a+b",
    "a#b",
    "a%b",
    "a%2Fb",
    "a b",
    "a ",
    "a=b?c",
    "a\nb",
    "a\r\nX-Injected: yes",
    "a\tb",
    "a\"b\\c",
    std::string{"a\0b", 3},
    "a\xc3\xa9",
    "a\x7f",
    "a&prefix=zz",
    std::string(190, 'a') + "&",
    "a\xed\xa0\x80", // half of a surrogate pair
};

void restart_all_routers(routed_fleet& fleet) {
    std::ranges::for_each(fleet.routers(), [](node& each) { each.process->kill(); });
    std::ranges::for_each(fleet.routers(), [&](node& each) { fleet.restart_router(each); });
}

/// Number of requests that are served, of a few at each router.
int count_served(routed_fleet& fleet, const std::string& label) {
    constexpr int requests = 6;
    int served = 0;
    for (const node& router : fleet.routers()) {
        for (int request = 0; request < requests; ++request) {
            const std::string id = label + router.name + std::to_string(request);
            served += fleet.ask(router, "/read/1", id).status == 200 ? 1 : 0;
        }
    }
    return served;
}

/// Upstreams of a service as a router sees them.
std::size_t count_upstreams(const routed_fleet& fleet, const node& router, const char* service) {
    const auto view = fleet.view(router);
    const auto* const services = view.if_contains("services");
    const auto* const found = services == nullptr ? nullptr : services->as_object().if_contains(service);
    return found == nullptr ? 0 : found->as_array().size();
}

} // namespace

TEST_CASE("proof: a key of another writer costs no worker and no request, whatever is in its name") {
    routed_fleet fleet{{.routers = 2, .plain_workers = 3, .engines = 1}};
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), single_item_pages);
    std::string folder;
    SUBCASE("among the entries of workers") {
        folder = "servers/";
    }
    SUBCASE("elsewhere") {
        folder = "notes/";
    }
    for (const std::string& name : odd_names) {
        CAPTURE(name);
        fleet.put_key(folder + name, "{}");
        restart_all_routers(fleet);
        CHECK(fleet.wait_ready(5s));
        CHECK(count_served(fleet, name.substr(0, 1)) == 12);
        for (const node& router : fleet.routers()) {
            CHECK(count_upstreams(fleet, router, "desk") == 3);
        }
        fleet.remove_key(folder + name);
    }
}

TEST_CASE("proof: odd entries cost no worker, whether they are watched, passed on or in a restored store") {
    routed_fleet fleet{{.routers = 4, .plain_workers = 3, .engines = 1, .failure_domains = 2}};
    REQUIRE(fleet.wait_ready());
    set_fault(fleet.store(), single_item_pages);
    for (const std::string& name : odd_names) {
        fleet.put_key("servers/" + name, "{}");
        fleet.put_key("notes/" + name, "{}");
    }
    const auto check_served = [&](const std::string& label) {
        CAPTURE(label);
        CHECK(fleet.wait_ready());
        CHECK(count_served(fleet, label) == 24);
        for (const node& router : fleet.routers()) {
            CHECK(count_upstreams(fleet, router, "desk") == 3);
        }
    };
    check_served("watched");
    set_fault(fleet.store(), R"({"page_items":1,"copy":1})");
    set_fault(fleet.store(), R"({"page_items":1,"restore":1})");
    fleet.write_keys_again();
    check_served("restored");
    const std::string gauge =
        "citronwick_unusable_upstream_entries " + std::to_string(odd_names.size()) + "\n";
    for (const node& router : fleet.routers()) {
        const auto logged = [&] { return find_log_lines(router, "upstream_entry_refused").size(); };
        CHECK(wait_until([&] {
            return http_call(router.addresses.at(1), {.target = "/metrics"}).body.find(gauge) !=
                   std::string::npos;
        }));
        // Once for each entry, although the restored store was listed, too.
        CHECK(wait_until([&] { return logged() >= odd_names.size(); }));
        CHECK(logged() == odd_names.size());
    }
}

TEST_CASE("proof: the name of an entry adds no header field to a request") {
    routed_fleet fleet{{.routers = 2, .plain_workers = 2, .engines = 0}};
    REQUIRE(fleet.wait_ready());
    std::mutex mutex;
    std::vector<std::string> headers;
    const scripted_worker other{"other", [&](boost::asio::ip::tcp::socket& connection) {
                                    const std::string header = read_request(connection);
                                    {
                                        const std::scoped_lock lock{mutex};
                                        headers.push_back(header);
                                    }
                                    const std::string response =
                                        response_header(header) + "Content-Length: 0\r\n\r\n";
                                    boost::asio::write(connection, boost::asio::buffer(response));
                                }};
    const auto entry = [&](const std::string& address) {
        return R"({"service":"desk","address":")" + address +
               R"(","zone":"busan-a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"seq":1,"born":1})";
    };
    for (const std::string& name : unusable_names) {
        fleet.put_key("servers/" + name, entry(to_text(other.entry().address())));
    }
    fleet.put_key("servers/scoped", entry("[::ffff:127.0.0.1%0\\r\\nX-Injected: yes]:" +
                                          std::to_string(other.entry().address().port)));
    restart_all_routers(fleet);
    REQUIRE(fleet.wait_ready());
    CHECK(count_served(fleet, "sound") == 12);
    for (const node& router : fleet.routers()) {
        CHECK(count_upstreams(fleet, router, "desk") == 2);
    }
    const std::scoped_lock lock{mutex};
    CHECK(headers.empty());
}

TEST_CASE("proof: control characters in an entry reach no log line as they are") {
    routed_fleet fleet{{.routers = 1, .plain_workers = 1, .engines = 0}};
    REQUIRE(fleet.wait_ready());
    fleet.put_key("servers/coloured",
                  R"({"service":"desk","address":"127.0.0.1:9","zone":"busan\u001b[31m\r","version":"v1",)"
                  R"("slots":8,"state":"draining","coldRemainingMs":0,"seq":1,"born":1})");
    const node& router = fleet.routers().front();
    CHECK(wait_until([&] { return find_log_lines(router, "upstream=coloured").size() == 1; }));
    CHECK(find_log_lines(router, "\x1b").empty());
    CHECK(find_log_lines(router, "\r").empty());
    CHECK(find_log_lines(router, R"(failure_domain="busan\u001b[31m\r")").size() == 1);
}

TEST_CASE("proof: a service that only entries name is no label of a metric") {
    routed_fleet fleet{{.routers = 1, .plain_workers = 1, .engines = 0}};
    REQUIRE(fleet.wait_ready());
    fleet.put_key("servers/odd",
                  R"({"service":"ghost\nX 1","address":"127.0.0.1:9","zone":"busan-a","version":"v1",)"
                  R"("slots":8,"state":"ready","coldRemainingMs":0,"seq":1,"born":1})");
    const node& router = fleet.routers().front();
    const auto page = [&] { return http_call(router.addresses.at(1), {.target = "/metrics"}).body; };
    CHECK(wait_until([&] { return find_log_lines(router, "upstream=odd").size() == 1; }));
    CHECK(page().find("ghost") == std::string::npos);
    CHECK(page().find("citronwick_usable_upstreams{service=\"desk\"} 1") != std::string::npos);
}
