#include "citronwick/core/printable_text.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace citronwick;

TEST_CASE("printable text shows each byte that is no visible ASCII by its number") {
    CHECK(printable("i-1 &") == "i-1 &");
    CHECK(printable("a\r\n\x7f\xff") == "a\\x0d\\x0a\\x7f\\xff");
    CHECK(printable(std::string(300, 'a')) == std::string(256, 'a') + "...");
}
