#include "citronwick/control/vm_list.hpp"

#include "citronwick/config/io_result_of.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace citronwick;

namespace {

io_result<std::vector<listed_vm>> read_list(const std::string& entries) {
    return io_result_of<std::vector<listed_vm>>(
        [&] { return parse_platform_vm_list(R"({"version":3,"vms":[)" + entries + "]}", "test"); });
}

constexpr const char* sound = R"({"name":"engine-1","role":"upstream","address":"10.0.0.1:80"})";

} // namespace

TEST_CASE("an odd entry of the VM list costs no other one") {
    for (const char* const odd :
         {"7", "null", "[]", "{}", R"({"name":"engine-2"})", R"({"name":"","address":"10.0.0.2:80"})",
          R"({"name":7,"address":"10.0.0.2:80"})", R"({"name":"engine-2","address":"nowhere"})",
          R"({"name":"engine-2","address":["10.0.0.2:80"]})",
          R"({"name":"engine-2\r\nX-Injected: yes","address":"10.0.0.2:80"})",
          R"({"name":"engine-2","address":"[fe80::1%0\r\nX-Injected: yes]:80"})"}) {
        CAPTURE(odd);
        const auto vms = read_list(std::string{odd} + "," + sound + "," + odd);
        REQUIRE(vms.has_value());
        REQUIRE(vms->size() == 1);
        CHECK(vms->front().name == "engine-1");
    }
}

TEST_CASE("odd members of an entry of the VM list count as missing") {
    const auto vms =
        read_list(R"({"name":"engine-1","role":7,"service":[],"region":null,"failure_domain":{},)"
                  R"("state":1e300,"weight":"heavy","address":"10.0.0.1:80"})");
    REQUIRE(vms.has_value());
    REQUIRE(vms->size() == 1);
    CHECK(vms->front().weight == 1.0);
    CHECK(vms->front().service.empty());
    CHECK_FALSE(vms->front().leaving);
}

TEST_CASE("a VM list of which no entry can be read is refused, and an empty one is not") {
    CHECK(read_list("7,{}").has_error());
    CHECK(read_list("").has_value());
}
