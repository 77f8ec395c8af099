#include "citronwick/core/field_value.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace citronwick;

TEST_CASE("a field value has no line end, no other control character and no blank at its ends") {
    for (const char* const value : {"", "a", "a b", "a\tb", "i&1+%#", "\xc3\xa9", "\xff"}) {
        CAPTURE(value);
        CHECK(is_field_value(value));
    }
    for (const std::string& text : {std::string{"a\r\nb"}, std::string{"a\nb"}, std::string{"a\rb"},
                                    std::string{"a\0b", 3}, std::string{"\x1b[0m"}, std::string{"a\x7f"},
                                    std::string{" a"}, std::string{"a "}, std::string{"\ta"}}) {
        CAPTURE(text);
        CHECK_FALSE(is_field_value(text));
        CHECK_FALSE(is_vm_name(text));
    }
}

TEST_CASE("the name of a VM is visible ASCII, with blanks between") {
    for (const char* const name : {"i-1", "i 1", "i&1", "i%0A"}) {
        CAPTURE(name);
        CHECK(is_vm_name(name));
    }
    for (const char* const name : {"", "i\t1", "\xc3\xa9", "i\xff"}) {
        CAPTURE(name);
        CHECK_FALSE(is_vm_name(name));
    }
}
