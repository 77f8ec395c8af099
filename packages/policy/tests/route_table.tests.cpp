#include "citronwick/policy/route_table.hpp"

#include <doctest/doctest.h>
#include <ranges>

using namespace citronwick;

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
    return {.name = std::move(name), .host = std::move(host), .prefix = std::move(prefix)};
}

const route_table table{{make_route("outer", "a.example", "/x/"), make_route("inner", "a.example", "/x/y/"),
                         make_route("other", "b.example", "/x/"), make_route("root", "b.example", "/")}};

std::string name_of(std::string_view host, std::string_view path) {
    const auto* const found = table.find(host, path);
    return found == nullptr ? "-" : found->name;
}

} // namespace

TEST_CASE("the route with the longest matching prefix for the host is found") {
    CHECK(name_of("a.example", "/x/1") == "outer");
    CHECK(name_of("a.example", "/x/y/1") == "inner");
    CHECK(name_of("a.example", "/x/y") == "outer");
    CHECK(name_of("a.example", "/x/yy/") == "outer");
    CHECK(name_of("a.example", "/x") == "-");
    CHECK(name_of("a.example", "/z/") == "-");
    CHECK(name_of("b.example", "/z/") == "root");
    CHECK(name_of("c.example", "/x/") == "-");
}

TEST_CASE("matching ignores the case and port of the host and the query string") {
    CHECK(name_of("A.Example:8080", "/x/?q=/x/y/") == "outer");
    CHECK(name_of("a.example", "/x/y/?q") == "inner");
}

TEST_CASE("paths that upstreams may interpret differently are ambiguous") {
    for (const char* const path : {"/a/b", "/", "/a/.b/..c", "/a?x=/../"}) {
        CHECK_MESSAGE(is_unambiguous_path(path), path);
    }
    for (const char* const path : {"", "a", "http://h/a", "/a/../b", "/a/./b", "/a/..", "/a/.", "/a%2fb",
                                   "/a%2Fb", "/%2e%2e/b", "/a\\b", "/a b", "/a\tb"}) {
        CHECK_MESSAGE(!is_unambiguous_path(path), path);
    }
}

TEST_CASE("requests are split among services by weight") {
    route split;
    split.services = {{"heavy", 90.0}, {"none", 0.0}, {"light", 10.0}};
    std::map<std::string, int> counts;
    constexpr std::uint64_t spread = 104'729;
    for (const std::uint64_t request : std::views::iota(0U, 10'000U)) {
        ++counts[choose_service(split, request * spread)->service];
    }
    CHECK(counts["heavy"] == doctest::Approx(9'000).epsilon(0.02));
    CHECK(counts["light"] == doctest::Approx(1'000).epsilon(0.1));
    CHECK(counts["none"] == 0);
    split.services = {{"none", 0.0}};
    CHECK(choose_service(split, 1) == nullptr);
}
