#include "fleet_registration.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const std::string prefix = "sys/";
/// As the landing fdbcbaf writes it.
constexpr const char* recorded_entry =
    R"({"vm":"entry-a1","region":"kr-south","failure_domain":"busan-a","fleet_address":"10.1.2.3:7070","start":"9f3c"})";

/// Store of an empty fleet, which keeps what is written to it.
class empty_store final : public watched_kv_client {
public:
    task<io_result<std::optional<kv_entry>>> read(std::string /*key*/) override {
        co_return std::optional<kv_entry>{};
    }
    task<io_result<swap_outcome>> compare_and_swap(std::string key, std::int64_t /*expected_revision*/,
                                                   std::string value, std::int64_t /*lease*/) override {
        written[std::move(key)] = std::move(value);
        co_return swap_outcome{.succeeded = true, .revision = static_cast<std::int64_t>(written.size())};
    }
    task<io_result<kv_lease>> grant_lease(std::chrono::seconds time_to_live) override {
        co_return kv_lease{1, time_to_live};
    }
    task<io_result<bool>> wait_for_change(std::string /*key*/, std::int64_t /*after_revision*/,
                                          std::chrono::milliseconds /*timeout*/) override {
        co_return false;
    }
    std::uint64_t take_byte_count() override { return 0; }
    task<io_result<kv_listing>> list(std::string /*prefix*/) override { co_return kv_listing{}; }
    task<io_result<store_position>> current_position() override { co_return store_position{}; }
    std::uint64_t newest_era() const override { return 0; }
    task<io_result<kv_changes>> wait_for_changes(std::string /*prefix*/, std::int64_t /*after*/,
                                                 std::chrono::milliseconds /*wait*/) override {
        co_return kv_changes{};
    }
    task<io_result<bool>> renew_lease(std::int64_t /*lease*/) override { co_return true; }

    std::map<std::string, std::string> written;
};

/// A router that registers, and what it learns of the others.
struct registering_router {
    asio::io_context context;
    empty_store store;
    std::vector<wire::member_record> routers;
    std::vector<std::string> removed;
    std::string fleet_key;
    fleet_registration registration{
        context.get_executor(),
        store,
        prefix,
        {.vm = "entry-b1",
         .region = "kr-south",
         .failure_domain = "busan-b",
         .fleet_address = "10.1.2.4:7070"},
        {.on_router = [this](const wire::member_record& record) { routers.push_back(record); },
         .on_router_removed = [this](const std::string& vm) { removed.push_back(vm); },
         .on_fleet_key = [this](const std::string& key) { fleet_key = key; },
         .on_registered = [](std::uint64_t) {}}};
};

} // namespace

TEST_CASE("the entry of a router and the fleet key of the previous landing are read as they were meant") {
    registering_router reader;
    reader.registration.apply({prefix + "routers/entry-a1", recorded_entry, {7, 2}});
    REQUIRE(reader.routers.size() == 1);
    CHECK(reader.routers[0].vm == "entry-a1");
    CHECK(reader.routers[0].region == "kr-south");
    CHECK(reader.routers[0].failure_domain == "busan-a");
    CHECK(reader.routers[0].fleet_address == "10.1.2.3:7070");
    CHECK(reader.routers[0].incarnation == to_sequence_number({7, 2}));
    CHECK_FALSE(reader.routers[0].leaving);
    reader.registration.apply({prefix + "fleet-key", "0123456789abcdef", {8, 2}});
    CHECK(reader.fleet_key == "0123456789abcdef");
}

TEST_CASE("the entry of a router has the members that the previous landing reads") {
    registering_router writer;
    writer.registration.begin_listing({1, 0});
    writer.registration.end_listing();
    asio::co_spawn(writer.context, writer.registration.run(), asio::detached);
    writer.context.run_for(50ms);
    REQUIRE(writer.store.written.contains(prefix + "routers/entry-b1"));
    const auto entry = boost::json::parse(writer.store.written[prefix + "routers/entry-b1"]).as_object();
    CHECK(entry.at("vm") == "entry-b1");
    CHECK(entry.at("region") == "kr-south");
    CHECK(entry.at("failure_domain") == "busan-b");
    CHECK(entry.at("fleet_address") == "10.1.2.4:7070");
    CHECK(entry.at("start").is_string());
    CHECK(writer.store.written.contains(prefix + "fleet-key"));
}

TEST_CASE(
    "members that a later landing adds to an entry are ignored, and what is no entry registers nobody") {
    registering_router reader;
    std::string later = recorded_entry;
    later.insert(1, R"("later":{"a":[1]},)");
    reader.registration.apply({prefix + "routers/entry-a1", later, {7, 2}});
    REQUIRE(reader.routers.size() == 1);
    CHECK(reader.routers[0].fleet_address == "10.1.2.3:7070");
    reader.registration.apply({prefix + "routers/entry-a2", "later form", {8, 2}});
    reader.registration.apply({prefix + "later/entry-a3", recorded_entry, {9, 2}});
    CHECK(reader.routers.size() == 1);
    CHECK(reader.removed == std::vector<std::string>{"entry-a2"});
}

TEST_CASE("an entry registers only the router that its key names") {
    registering_router reader;
    reader.registration.apply({prefix + "routers/entry-a2", recorded_entry, {7, 2}});
    CHECK(reader.routers.empty());
    std::string unnamed = recorded_entry;
    unnamed.replace(unnamed.find("\"entry-a1\""), std::string{"\"entry-a1\""}.size(), "7");
    reader.registration.apply({prefix + "routers/entry-a1", unnamed, {8, 2}});
    reader.registration.apply({prefix + "routers/", unnamed, {9, 2}});
    CHECK(reader.routers.empty());
    reader.registration.apply({prefix + "routers/entry-a1", recorded_entry, {10, 2}});
    CHECK(reader.routers.size() == 1);
}
