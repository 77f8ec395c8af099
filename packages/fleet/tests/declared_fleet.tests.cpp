#include "declared_fleet.hpp"

#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/io/json_text.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace citronwick;

namespace {

const time_point start{std::chrono::hours{1}};

constexpr std::string_view unreadable = "?";

/// Platform whose upstream entries hold nothing but a failure domain.
class plain_adapter final : public platform_adapter {
public:
    std::unique_ptr<watched_kv_client> connect_store(const asio::any_io_executor& /*executor*/,
                                                     endpoint /*server*/,
                                                     std::chrono::milliseconds /*timeout*/) const override {
        return nullptr;
    }
    store_layout layout() const override { return {"config", "upstreams/", "own/", "evacuated/"}; }
    const request_dialect& dialect() const override { throw std::logic_error{"not used"}; }
    std::string_view readiness_path() const override { return "/ready"; }
    io_result<routing_declaration> decode_configuration(std::string_view /*text*/) const override {
        return failure{"decode", "test", "not used"};
    }
    io_result<upstream_entry> decode_upstream(std::string_view id, std::string_view text) const override {
        if (text == unreadable) {
            return failure{"decode", std::string{id}, "unreadable"};
        }
        return upstream_entry{.id = std::string{id},
                              .service = "desk",
                              .address = {"10.0.0.1", 80},
                              .failure_domain = std::string{text}};
    }
};

/// A fleet with one upstream in each of two failure domains.
struct two_domains {
    two_domains() {
        put("upstreams/x", "a", 1);
        put("upstreams/y", "b", 2);
    }

    void put(const std::string& key, std::optional<std::string> value, std::int64_t revision) {
        CHECK(fleet.apply({key, std::move(value), {revision}}, std::nullopt, start));
    }

    /// Failure domains of the usable upstreams, in the order of the upstreams' names.
    std::string usable() const {
        const auto found = fleet.usable();
        std::string domains;
        if (found.contains("desk")) {
            for (const routed_upstream& each : found.at("desk")) {
                domains += each.entry.failure_domain;
            }
        }
        return domains;
    }

    plain_adapter adapter;
    suspect_registry suspects;
    declared_fleet fleet{adapter, suspects};
};

} // namespace

TEST_CASE("the upstreams of evacuated failure domains are not usable until the order is taken back") {
    two_domains declared;
    declared.put("evacuated/a", "", 3);
    CHECK(declared.usable() == "b");
    CHECK(declared.fleet.evacuated_upstreams().at("desk") == 1);
    declared.put("evacuated/b", "", 4);
    CHECK(declared.usable().empty());
    declared.put("evacuated/nowhere", "", 5);
    declared.put("evacuated/a", std::nullopt, 6);
    CHECK(declared.usable() == "a");
    CHECK(declared.fleet.evacuated_domains().size() == 2);
}

TEST_CASE("upstreams that leave an evacuated failure domain are no sources of cached prompts") {
    two_domains declared;
    declared.fleet.record_leaving(*declared.fleet.hashes().begin());
    CHECK(declared.fleet.leaving().size() == 1);
    declared.put("evacuated/a", "", 3);
    declared.put("evacuated/b", "", 4);
    CHECK(declared.fleet.leaving().empty());
}

TEST_CASE("an evacuation that a complete listing lacks has ended") {
    two_domains declared;
    declared.put("evacuated/a", "", 3);
    declared.put("evacuated/b", "", 4);
    const kv_listing listing{
        .items = {{"upstreams/x", "a", {1}}, {"upstreams/y", "b", {2}}, {"evacuated/b", "", {4}}},
        .position = {9}};
    declared.fleet.retain_listed(listing, std::nullopt, start);
    CHECK(declared.usable() == "a");
}

TEST_CASE("unusable entries are counted until they are mended, removed or no longer listed") {
    two_domains declared;
    declared.put("upstreams/v", std::string{unreadable}, 3);
    declared.put("upstreams/w", std::string{unreadable}, 4);
    declared.put("upstreams/z", std::string{unreadable}, 5);
    declared.put("upstreams/z", std::string{unreadable}, 6);
    CHECK(declared.usable() == "ab");
    CHECK(declared.fleet.unusable_entries() == 3);
    declared.put("upstreams/v", "a", 7);
    declared.put("upstreams/w", std::nullopt, 8);
    CHECK(declared.fleet.unusable_entries() == 1);
    declared.fleet.retain_listed({.items = {{"upstreams/x", "a", {1}}}, .position = {9}}, std::nullopt,
                                 start);
    CHECK(declared.fleet.unusable_entries() == 0);
}
