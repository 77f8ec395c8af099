#include "citronwick/ctl/declaration_diff.hpp"

#include <algorithm>
#include <map>
#include <ranges>

namespace citronwick {

namespace {

/// Lines by table. The key is the table's heading, with the name of an array's
/// entry appended.
using table_lines = std::map<std::string, std::vector<std::string>>;

/// Removes surrounding white space.
/// @return an empty text for a blank line or a comment
std::string trim(std::string_view line) {
    const auto first = line.find_first_not_of(" \t\r");
    if (first == std::string_view::npos || line[first] == '#') {
        return {};
    }
    const auto last = line.find_last_not_of(" \t\r");
    return std::string{line.substr(first, last - first + 1)};
}

std::vector<std::string> significant_lines(std::string_view text) {
    std::vector<std::string> lines;
    for (const auto part : text | std::views::split('\n')) {
        auto line = trim({part.begin(), part.end()});
        if (!line.empty()) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

table_lines split_tables(std::string_view text) {
    table_lines all;
    std::string heading;
    for (const std::string& line : significant_lines(text)) {
        if (line.starts_with('[')) {
            heading = line;
            continue;
        }
        const bool names_table = heading.starts_with("[[") && line.starts_with("name");
        if (names_table) {
            heading += " " + line.substr(line.find_first_of("\"'"));
        }
        all[heading].push_back(line);
    }
    std::ranges::for_each(all | std::views::values, [](auto& lines) { std::ranges::sort(lines); });
    return all;
}

void append_difference(std::vector<std::string>& report, char sign, const std::vector<std::string>& lines,
                       const std::vector<std::string>& other) {
    std::vector<std::string> differing;
    std::ranges::set_difference(lines, other, std::back_inserter(differing));
    std::ranges::transform(differing, std::back_inserter(report),
                           [sign](const std::string& line) { return std::string{sign} + " " + line; });
}

} // namespace

std::vector<std::string> diff_declarations(std::string_view before, std::string_view after) {
    auto old_tables = split_tables(before);
    auto new_tables = split_tables(after);
    table_lines headings = old_tables;
    headings.insert(new_tables.begin(), new_tables.end());
    std::vector<std::string> report;
    for (const std::string& heading : headings | std::views::keys) {
        std::vector<std::string> changes;
        append_difference(changes, '-', old_tables[heading], new_tables[heading]);
        append_difference(changes, '+', new_tables[heading], old_tables[heading]);
        if (!changes.empty()) {
            report.push_back(heading);
            std::ranges::copy(changes, std::back_inserter(report));
        }
    }
    return report;
}

} // namespace citronwick
