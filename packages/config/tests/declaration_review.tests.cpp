#include "citronwick/config/declaration_review.hpp"

#include "citronwick/config/routing_configuration.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

using kind = review_finding::kind;

routing_declaration sound() {
    routing_declaration declared{.version = 7};
    declared.routes.push_back(
        {.name = "quotes", .host = "a.example", .prefix = "/quotes/", .services = {{"bench", 1.0}}});
    declared.routes.push_back(
        {.name = "status", .host = "a.example", .prefix = "/status/", .services = {{"desk", 1.0}}});
    declared.services.push_back({.name = "bench", .engine = engine_profile{8, 90'000}});
    declared.services.push_back({.name = "desk"});
    declared.teams.push_back({"club", {"k1", "k2"}});
    return declared;
}

/// Whether a declaration has one finding, of a type and about an entry.
bool has_only(const routing_declaration& declared, kind type, const std::string& entry) {
    const auto findings = review_declaration(declared);
    return findings.size() == 1 && findings.front().type == type && findings.front().entry == entry;
}

} // namespace

TEST_CASE("a sound declaration has no findings") {
    CHECK(review_declaration(sound()).empty());
}

TEST_CASE("errors of a declaration are found") {
    auto declared = sound();
    declared.routes[1].services = {{"nowhere", 1.0}, {"desk", 1.0}};
    CHECK(has_only(declared, kind::error, "route \"status\""));
    declared = sound();
    declared.routes[1].prefix = "status";
    CHECK(has_only(declared, kind::error, "route \"status\""));
    declared = sound();
    declared.teams.push_back({"club", {"k3"}});
    CHECK(has_only(declared, kind::error, "team \"club\""));
}

TEST_CASE("entries that no request can reach are found") {
    auto declared = sound();
    declared.routes.push_back(
        {.name = "again", .host = "A.example:80", .prefix = "/status/", .services = {{"desk", 1.0}}});
    CHECK(has_only(declared, kind::never_matches, "route \"again\""));
    declared = sound();
    declared.routes[1].prefix = "/a/../b/";
    CHECK(has_only(declared, kind::never_matches, "route \"status\""));
    declared = sound();
    declared.services.push_back({.name = "spare"});
    CHECK(has_only(declared, kind::never_matches, "service \"spare\""));
    declared = sound();
    declared.teams.push_back({"guild", {"k2"}});
    CHECK(has_only(declared, kind::never_matches, "team \"guild\""));
    declared = sound();
    declared.teams.push_back({"guild", {}});
    CHECK(has_only(declared, kind::never_matches, "team \"guild\""));
}

TEST_CASE("limits that contradict each other are found") {
    auto declared = sound();
    declared.routes[0].target_latency = 40s;
    CHECK(has_only(declared, kind::contradiction, "route \"quotes\""));
    declared = sound();
    declared.services[0].connection_limit = 4;
    CHECK(has_only(declared, kind::contradiction, "service \"bench\""));
    declared = sound();
    declared.limits.header_timeout = 20s;
    CHECK(has_only(declared, kind::contradiction, "limits \"callers\""));
}

TEST_CASE("a comparison names what was added, removed and changed, and no key") {
    const auto before = sound();
    auto after = sound();
    after.routes.erase(after.routes.begin());
    after.routes[0].timeout = 9s;
    after.services.push_back({.name = "spare", .cold_rate = 11.0});
    after.teams[0].keys = {"k2", "k9"};
    after.limits.body_bytes = 1;
    const auto lines = compare_declarations(before, after);
    REQUIRE(lines.size() == 5);
    CHECK(lines[0].starts_with("- route \"quotes\""));
    CHECK(lines[1].starts_with("~ route \"status\""));
    CHECK(lines[2].starts_with("+ service \"spare\""));
    CHECK(lines[3].starts_with("~ team \"club\""));
    CHECK(lines[4].starts_with("~ limits"));
    CHECK(std::ranges::none_of(lines,
                               [](const std::string& line) { return line.find("k9") != std::string::npos; }));
    CHECK(compare_declarations(before, before).empty());
}
