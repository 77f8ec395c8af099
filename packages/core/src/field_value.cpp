#include "citronwick/core/field_value.hpp"

#include <algorithm>

namespace citronwick {

namespace {

bool is_blank(char byte) {
    return byte == ' ' || byte == '\t';
}

bool is_control(char byte) {
    const auto value = static_cast<unsigned char>(byte); // plain char is signed on some machines
    return value < ' ' || value == '\x7f';
}

bool is_printable_ascii(char byte) {
    return byte >= ' ' && byte < '\x7f';
}

} // namespace

bool is_field_value(std::string_view text) {
    const bool is_trimmed = text.empty() || (!is_blank(text.front()) && !is_blank(text.back()));
    return is_trimmed &&
           std::ranges::none_of(text, [](char each) { return is_control(each) && each != '\t'; });
}

bool is_vm_name(std::string_view text) {
    return !text.empty() && is_field_value(text) && std::ranges::all_of(text, is_printable_ascii);
}

} // namespace citronwick
