#include "form_query.hpp"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace citronwick::standin {

namespace {

/// @return none if two hexadecimal digits do not follow each "%"
std::optional<std::string> decode_form(std::string_view text) {
    constexpr int base = 16;
    constexpr std::size_t escape_length = 3;
    std::string bytes;
    while (!text.empty()) {
        if (text.front() != '%') {
            bytes += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        const std::string_view escape = text.substr(0, escape_length);
        const char* const last = escape.data() + escape.size();
        std::uint8_t byte = 0;
        const auto [end, error] = std::from_chars(escape.data() + 1, last, byte, base);
        if (escape.size() < escape_length || error != std::errc{} || end != last) {
            return std::nullopt;
        }
        bytes += static_cast<char>(byte);
        text.remove_prefix(escape_length);
    }
    return bytes;
}

bool is_visible_ascii(char byte) {
    return byte > ' ' && byte < '\x7f';
}

} // namespace

std::optional<form_query> form_query::parse(std::string_view target) {
    if (!std::ranges::all_of(target, is_visible_ascii)) {
        return std::nullopt;
    }
    target = target.substr(0, target.find('#'));
    const auto begin = target.find('?');
    const std::string_view query =
        begin == std::string_view::npos ? std::string_view{} : target.substr(begin + 1);
    form_query parsed;
    for (const auto part : std::views::split(query, '&')) {
        const std::string_view parameter{part.begin(), part.end()};
        const auto separator = std::min(parameter.find('='), parameter.size());
        const auto name = decode_form(parameter.substr(0, separator));
        const auto value = decode_form(parameter.substr(std::min(separator + 1, parameter.size())));
        if (!name || !value) {
            return std::nullopt;
        }
        parsed.values_.emplace(*name, *value);
    }
    return parsed;
}

std::string form_query::text(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? std::string{} : found->second;
}

std::int64_t form_query::number(const std::string& name) const {
    const std::string value = text(name);
    std::int64_t parsed = 0;
    std::from_chars(value.data(), value.data() + value.size(), parsed);
    return parsed;
}

} // namespace citronwick::standin
