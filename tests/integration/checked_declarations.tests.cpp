// The check of a declaration of routes before it is written to the platform's store.

#include "node.hpp"
#include "routed_fleet.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

/// A declaration that differs from that of `routed_fleet`.
constexpr const char* next_version = R"({"version":9,"routes":[
  {"name":"/read/","host":"shop.example","prefix":"/read/","kind":"safe","service":"desk","timeoutMs":3000,
   "targetLatencyMs":100,"attempts":3,"priority":1},
  {"name":"/read-2/","host":"shop.example","prefix":"/read/","kind":"safe","service":"desk","timeoutMs":50,
   "targetLatencyMs":100}],
 "services":[{"name":"desk","connectionLimit":96}],
 "limits":{"headerBytes":8192,"bodyBytes":65536},
 "tenants":[{"name":"club","apiKeys":["club-key"]}]})";

struct written_file {
    explicit written_file(const std::string& text)
        : directory{make_directory()}, name{directory + "/next.json"} {
        std::ofstream{name} << text;
    }

    std::string directory;
    std::string name;
};

command_result check(const written_file& file, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"check", file.name, "--adapter", "http_store"});
    return run_citronctl(std::move(arguments), file.directory + "/ctl.log");
}

bool tells(const command_result& result, const std::string& text) {
    return result.output.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("contract: a check tells what of a declaration no request can reach, and what differs from the one "
          "in force") {
    routed_fleet system{{.routers = 1, .plain_workers = 1, .engines = 0}};
    REQUIRE(system.wait_ready());
    const written_file file{next_version};
    const auto checked = check(file, {"--store", to_text(system.store().address())});
    CHECK(checked.exit == 0);
    CHECK(tells(checked, "never matches: route \"/read-2/\""));
    CHECK(tells(checked, "contradiction: route \"/read-2/\""));
    CHECK(tells(checked, "~ route \"/read/\""));
    CHECK(tells(checked, "- team \"guild\""));
    CHECK(tells(checked, "changes to version 1"));
    CHECK_FALSE(tells(checked, "club-key"));
}

TEST_CASE("contract: a check fails for errors, an older version, and text that is no declaration") {
    const written_file undeclared{
        R"({"version":9,"routes":[{"name":"r","host":"a","prefix":"/","service":"x"}]})"};
    CHECK(check(undeclared, {}).exit == 2);
    CHECK(check(written_file{"{"}, {}).exit == 2);
    routed_fleet system{{.routers = 0, .plain_workers = 0, .engines = 0}};
    std::string older = next_version;
    older.replace(older.find('9'), 1, "1");
    CHECK(check(written_file{older}, {"--store", to_text(system.store().address())}).exit == 2);
}
