#include "citronwick/wire/change_pack.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronwick;

namespace {

bool unpacks_successfully(std::string_view packed) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(wire::unpack_changes(packed, "peer"));
            return true;
        },
        [](const failure& error) {
            CHECK(error.peer == "peer");
            return false;
        },
        [] { return false; });
}

} // namespace

TEST_CASE("packing preserves changes and compresses a repetitive value") {
    std::string declaration;
    for (int index = 0; index < 1'400; ++index) {
        declaration +=
            R"({"name":"r-)" + std::to_string(index * 7'919) + R"(","host":"a.example","kind":"safe"},)";
    }
    const auto packed =
        wire::pack_changes({{"declaration", declaration, false, 6, 7}, {"worker", "", true, 7, 9}});
    CHECK(packed.size() < declaration.size() / 4);
    const auto changes = wire::unpack_changes(packed, "peer");
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->at(0).value == declaration);
    CHECK(changes->at(0).previous == 6);
    CHECK(changes->at(1).is_removal);
    CHECK(changes->at(1).revision == 9);
}

TEST_CASE("truncated changes and random bytes are rejected") {
    const auto packed = wire::pack_changes({{"key", "value", false, 6, 7}});
    CHECK(rc::check("any truncation is rejected", [&] {
        const auto length = *rc::gen::inRange<std::size_t>(0, packed.size());
        RC_ASSERT(!unpacks_successfully(std::string_view{packed}.substr(0, length)));
    }));
    CHECK(rc::check("random bytes are rejected", [&] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(!unpacks_successfully(bytes));
    }));
}
