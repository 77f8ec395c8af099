#include "citronwick/core/printable_text.hpp"

#include <algorithm>
#include <array>

namespace citronwick {

std::string printable(std::string_view text) {
    constexpr std::size_t max_bytes = 256;
    constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7',
                                '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    constexpr unsigned digit_bits = 4;
    constexpr unsigned digit_mask = 0xf;
    std::string shown;
    std::ranges::for_each(text.substr(0, max_bytes), [&](char each) {
        if (each >= ' ' && each < '\x7f') {
            shown += each;
        } else {
            const auto byte = static_cast<unsigned char>(each);
            shown += "\\x";
            shown += digits.at(byte >> digit_bits);
            shown += digits.at(byte & digit_mask);
        }
    });
    return text.size() > max_bytes ? shown + "..." : shown;
}

} // namespace citronwick
