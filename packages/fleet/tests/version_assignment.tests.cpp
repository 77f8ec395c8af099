#include "citronwick/fleet/version_assignment.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr duration settle_time = 10s;
const std::string prefix = "versions/";
const std::string key = prefix + "bench";

/// Store of one key in memory.
class one_key_store final : public kv_client {
public:
    task<io_result<std::optional<kv_entry>>> read(std::string /*key*/) override {
        co_return std::optional<kv_entry>{};
    }

    task<io_result<swap_outcome>> compare_and_swap(std::string /*key*/, std::int64_t expected_revision,
                                                   std::string value, std::int64_t /*lease*/) override {
        ++calls;
        if (!serves) {
            co_return failure{"write", "store", "down"};
        }
        if (expected_revision != revision) {
            co_return swap_outcome{.revision = revision, .era = era, .current = kv_entry{text, 1, revision}};
        }
        text = std::move(value);
        ++revision;
        co_return swap_outcome{.succeeded = true, .revision = revision, .era = era};
    }

    task<io_result<kv_lease>> grant_lease(std::chrono::seconds time_to_live) override {
        co_return kv_lease{1, time_to_live};
    }

    task<io_result<bool>> wait_for_change(std::string /*key*/, std::int64_t /*after_revision*/,
                                          std::chrono::milliseconds /*timeout*/) override {
        co_return false;
    }

    std::uint64_t take_byte_count() override { return 0; }

    kv_change last_change() const { return {key, text, {revision, era}}; }

    std::string text;
    std::int64_t revision = 0;
    std::uint64_t era = 0;
    int calls = 0;
    bool serves = true;
};

/// A router's view of the assignment, with the store that it writes to.
struct router {
    explicit router(one_key_store& shared)
        : store{shared}, versions{context.get_executor(), shared, prefix, [] {}} {
        list();
    }

    void list() {
        versions.begin_listing(store.era, now);
        if (store.revision > 0) {
            versions.apply(store.last_change(), now);
        }
        versions.end_listing();
    }

    void tick(const version_capacities& capacities, duration write_delay = 0s) {
        versions.tick({{"bench", {capacities, settle_time}}}, write_delay, now);
        context.restart();
        context.run();
    }

    bool may_be_of_copy() const {
        const auto unproven = versions.unproven();
        return unproven.contains("bench") && now < unproven.at("bench");
    }

    const version_slots& slots() const { return *versions.slots().at("bench"); }

    one_key_store& store;
    asio::io_context context;
    version_assignment versions;
    time_point now = clock::now();
};

} // namespace

TEST_CASE("a router that starts knows from the store which versions may have begun a stream") {
    one_key_store store;
    router first{store};
    first.tick({{"v1", 9.0}});
    CHECK(first.slots().only_version() == "v1");
    first.now += 1s;
    first.tick({{"v2", 9.0}});
    CHECK(first.slots().at(7).version == "v2");
    const router second{store};
    CHECK(second.slots() == first.slots());
    CHECK(second.slots().at(7).earlier == std::set<std::string>{"v1"});
}

TEST_CASE("a slot is settled once no stream can run that began before it moved, also by another router") {
    one_key_store store;
    router first{store};
    first.tick({{"v1", 9.0}});
    first.now += 1s;
    first.tick({{"v2", 9.0}});
    router second{store};
    second.now = first.now + settle_time / 2;
    second.tick({{"v2", 9.0}});
    CHECK(second.slots().unsettled().all());
    second.now = first.now + settle_time + 1s;
    second.tick({{"v2", 9.0}});
    CHECK(second.slots().only_version() == "v2");
}

TEST_CASE("an assignment that needs no change is not written again") {
    one_key_store store;
    router first{store};
    for (int count = 0; count < 20; ++count) {
        first.tick({{"v1", 5.0}, {"v2", 4.0}});
        first.now += 1s;
    }
    CHECK(store.calls == 1);
}

TEST_CASE("a change that another router should write first is left to it for a while") {
    one_key_store store;
    router second{store};
    second.tick({{"v1", 9.0}}, 1s);
    second.now += 900ms;
    second.tick({{"v1", 9.0}}, 1s);
    CHECK(store.calls == 0);
    second.now += 200ms;
    second.tick({{"v1", 9.0}}, 1s);
    CHECK(store.calls == 1);
}

TEST_CASE("a write that lost against another router's, or failed, changes nothing by itself") {
    one_key_store store;
    router first{store};
    router second{store};
    first.tick({{"v1", 9.0}});
    second.tick({{"v2", 9.0}});
    CHECK(second.slots().only_version() == "v1");
    store.serves = false;
    second.now += 1s;
    second.tick({{"v2", 9.0}});
    CHECK(second.slots().only_version() == "v1");
    store.serves = true;
    second.now += 1s;
    second.tick({{"v2", 9.0}});
    CHECK(second.slots().at(0).version == "v2");
    CHECK(second.slots().unsettled().all());
}

TEST_CASE("an assignment that a restored store lacks, holds older or unreadable is written again") {
    one_key_store store;
    router first{store};
    first.tick({{"v1", 9.0}});
    const kv_change old = store.last_change();
    first.now += 1s;
    first.tick({{"v2", 9.0}});
    const version_slots newest = first.slots();
    store.revision = 1;
    first.versions.begin_listing(2, first.now);
    SUBCASE("older") {
        store.text = *old.value;
        first.versions.apply({key, old.value, {1, 2}}, first.now);
    }
    SUBCASE("missing") {
        store.revision = 0;
    }
    SUBCASE("unreadable") {
        first.versions.apply({key, "{}", {1, 2}}, first.now);
    }
    first.versions.end_listing();
    CHECK(first.slots() == newest);
    first.now += 1s;
    first.tick({{"v2", 9.0}});
    CHECK(first.slots() == newest);
    const router second{store};
    CHECK(second.slots() == newest);
}

TEST_CASE("routers that disagree on one number after a restore end with one assignment") {
    one_key_store store;
    router first{store};
    router stale{store};
    first.tick({{"v1", 9.0}});
    stale.versions.apply(store.last_change(), stale.now);
    const kv_change copy = store.last_change();
    first.now += 1s;
    first.tick({{"v1", 5.0}, {"v2", 4.0}});
    // The copy lacks that change, and a router that did not hear of it writes another one.
    store.text = *copy.value;
    store.revision = 1;
    stale.now += 1s;
    stale.tick({{"v2", 9.0}});
    first.versions.apply(store.last_change(), first.now);
    first.now += 1s;
    first.tick({{"v1", 5.0}, {"v2", 4.0}});
    stale.versions.apply(store.last_change(), stale.now);
    CHECK(stale.slots() == first.slots());
    CHECK(first.slots().at(63).version == "v1");
}

// Guards against routers that start after a restore and know the copy only (ORDER).
TEST_CASE("after a restore the slots may be those of the copy until no stream runs that began before it") {
    one_key_store store;
    store.era = 1;
    router first{store};
    first.tick({{"v1", 9.0}});
    CHECK_FALSE(first.may_be_of_copy());
    CHECK_FALSE(router{store}.may_be_of_copy());
    store.era = 2;
    first.now += 1s;
    first.list();
    router fresh{store};
    fresh.now = first.now;
    fresh.list();
    CHECK(first.may_be_of_copy());
    CHECK(fresh.may_be_of_copy());
    SUBCASE("a change of the slots proves nothing") {
        fresh.tick({{"v2", 9.0}});
        CHECK(fresh.slots().at(0).version == "v2");
        CHECK(fresh.may_be_of_copy());
    }
    SUBCASE("one router states that they lack no change, for those that start later") {
        first.now += settle_time;
        first.tick({{"v1", 9.0}});
        CHECK_FALSE(first.may_be_of_copy());
        CHECK_FALSE(router{store}.may_be_of_copy());
    }
    SUBCASE("none can state it") {
        fresh.now += 59s;
        CHECK(fresh.may_be_of_copy());
        fresh.now += 2s;
        CHECK_FALSE(fresh.may_be_of_copy());
    }
}

// Both are as the landing fdbcbaf writes and reads them.
TEST_CASE("an assignment of an earlier landing is read, and may be that of a copy, as it names no era") {
    one_key_store store;
    std::string rows = R"(["v2","v1"])";
    for (std::size_t index = 1; index < version_slots::slot_count; ++index) {
        rows += R"(,["v1"])";
    }
    store.text = R"({"number":7,"slots":[)" + rows + "]}";
    store.revision = 3;
    SUBCASE("of a store that names no era") {
        const router reader{store};
        CHECK(reader.slots().at(0).version == "v2");
        CHECK(reader.slots().at(0).earlier == std::set<std::string>{"v1"});
        CHECK(reader.slots().at(63).version == "v1");
        CHECK_FALSE(reader.may_be_of_copy());
    }
    SUBCASE("of a store that names one") {
        store.era = 4;
        router reader{store};
        CHECK(reader.may_be_of_copy());
        reader.now += settle_time;
        reader.tick({{"v1", 63.0}, {"v2", 1.0}});
        CHECK_FALSE(reader.may_be_of_copy());
        // The members that earlier landings read are unchanged.
        CHECK(store.text.starts_with(R"({"number":8,"era":4,"slots":[["v2"],["v1"],)"));
    }
}

TEST_CASE("an assignment with an odd number, era or slot is none, and the one in force stays") {
    one_key_store store;
    router first{store};
    first.tick({{"v1", 9.0}});
    const version_slots known = first.slots();
    const std::string sound = store.text;
    const auto replaced = [&sound](const std::string& part, const std::string& replacement) {
        std::string text = sound;
        return text.replace(text.find(part), part.size(), replacement);
    };
    for (const std::string& text :
         {replaced("\"number\":1", "\"number\":-1"), replaced("\"era\":0", "\"era\":-1"),
          replaced("[\"v1\"]", "[7]"), replaced("[\"v1\"]", "[]"), replaced("[\"v1\"]", "\"v1\""),
          replaced("[\"v1\"],", ""), std::string{"\xff"}}) {
        CAPTURE(text);
        store.text = text;
        ++store.revision;
        first.versions.apply(store.last_change(), first.now);
        CHECK(first.slots() == known);
        first.now += 1s;
        first.tick({{"v1", 9.0}});
        CHECK(store.text == replaced("\"number\":1", "\"number\":" + std::to_string(store.calls)));
    }
}
