#include "citronwick/config/configuration.hpp"
#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const std::string digest = sha256_hex("secret");

std::string sample() {
    return R"(
[[service]]
name = "bench"
kind = "engine"
models = ["repair-draft"]

[[team]]
name = "club"
key_sha256 = ")" +
           digest + R"("

[preset.ordinary]
skew_target = 1.5
idle_timeout = "3s"
)";
}

io_result<declaration> parse(const std::string& text) {
    return io_result_of<declaration>([&] { return declaration::parse(text, "fleet.toml"); });
}

struct invalid_declaration {
    const char* added;
    const char* message;
};

} // namespace

TEST_CASE("a parsed declaration finds services by model, teams by key and presets by name") {
    const auto parsed = parse(sample());
    REQUIRE(parsed.has_value());
    CHECK(parsed->find_service_of_model("repair-draft")->name == "bench");
    CHECK(parsed->find_team(digest)->name == "club");
    CHECK(parsed->find_preset("ordinary")->skew_target == 1.5);
    CHECK(parsed->find_preset("ordinary")->idle_timeout == 3s);
    CHECK(parsed->find_preset("peak") == nullptr);
}

TEST_CASE("an invalid declaration is rejected with file name and reason") {
    const std::vector<invalid_declaration> rows{
        {"skew_targt = 2", "did you mean \"skew_target\""},
        {"slow_start = 3", "expected a duration"},
        {"queue_length = -1", "non-negative whole number"},
        {"hints = \"yes\"", "true or false"},
        {"placement = \"rendevous\"", "did you mean \"rendezvous\""},
        {"skew_limit = 1.1", "must not be below skew_target"},
        {"[[service]]\nname = \"bench\"\nkind = \"plain\"", "is declared twice"},
        {"[[service]]\nname = \"x\"\nkind = \"gpu\"", "expected \"engine\" or \"plain\""},
        {"[[service]]\nname = \"x\"\nkind = \"engine\"\nmodels = [\"repair-draft\"]",
         "is already served by another service"},
        {"[[team]]\nname = \"x\"\nkey_sha256 = \"12\"", "64 lower-case"},
        {"[[team]]\nname = \"x\\r\\nX-Injected: yes\"\nkey_sha256 = \"12\"", "no control characters"},
        {"[preset.empty\n", "syntax"},
    };
    for (const auto& row : rows) {
        CAPTURE(row.added);
        const auto parsed = parse(sample() + row.added + "\n");
        REQUIRE(parsed.has_error());
        CAPTURE(parsed.error().detail);
        CHECK(parsed.error().detail.find(row.message) != std::string::npos);
        CHECK(parsed.error().detail.find("fleet.toml:") != std::string::npos);
    }
}

TEST_CASE("a serialized configuration parses back unchanged") {
    configuration_root root{
        .generation = 7, .active_preset = "ordinary", .chunks = {"a", "b"}, .writer = "kim"};
    const auto original = io_result_of<configuration>([&] { return make_configuration(root, sample()); });
    REQUIRE(original.has_value());
    const auto read =
        io_result_of<configuration>([&] { return parse_document(to_document(*original), "peer"); });
    REQUIRE(read.has_value());
    CHECK(read->root.generation == 7);
    CHECK(read->root.chunks == root.chunks);
    CHECK(read->text == original->text);
    root.active_preset = "holiday";
    CHECK(io_result_of<configuration>([&] { return make_configuration(root, sample()); }).has_error());
}

TEST_CASE(
    "inserting a team among 13,000 others changes at most two chunks, and none exceeds the value limit") {
    std::string text;
    for (int team = 0; team < 13'000; ++team) {
        text += "[[team]]\nname = \"team-" + std::to_string(team) + "\"\nkey_sha256 = \"" +
                sha256_hex(std::to_string(team)) + "\"\n\n";
    }
    const auto before = split_chunks(text);
    CHECK(std::accumulate(before.begin(), before.end(), std::string{}) == text);
    CHECK(std::ranges::all_of(before, [](const std::string& chunk) { return chunk.size() <= 48U << 10U; }));
    text.insert(text.find("[[team]]\nname = \"team-6000\""), "[[team]]\nname = \"new\"\n\n");
    const auto after = split_chunks(text);
    const auto is_new = [&](const std::string& chunk) {
        return std::ranges::find(before, chunk) == before.end();
    };
    CHECK(std::ranges::count_if(after, is_new) <= 2);
}
