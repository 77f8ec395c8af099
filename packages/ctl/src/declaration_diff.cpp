#include "citronwick/ctl/declaration_diff.hpp"

#include <algorithm>
#include <map>
#include <ranges>

namespace citronwick {

namespace {

/// Lines of each table, by a heading that tells tables of one kind apart.
using tables = std::map<std::string, std::vector<std::string>>;

std::string trimmed(std::string_view line) {
    const auto first = line.find_first_not_of(" \t\r");
    if (first == std::string_view::npos || line[first] == '#') {
        return {};
    }
    const auto last = line.find_last_not_of(" \t\r");
    return std::string{line.substr(first, last - first + 1)};
}

std::vector<std::string> meaningful_lines(std::string_view text) {
    std::vector<std::string> lines;
    for (const auto part : text | std::views::split('\n')) {
        auto line = trimmed({part.begin(), part.end()});
        if (!line.empty()) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

tables split_tables(std::string_view text) {
    tables all;
    std::string heading;
    for (const std::string& line : meaningful_lines(text)) {
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

void append_difference(std::vector<std::string>& report, char sign, const std::vector<std::string>& from,
                       const std::vector<std::string>& without) {
    std::vector<std::string> only;
    std::ranges::set_difference(from, without, std::back_inserter(only));
    std::ranges::transform(only, std::back_inserter(report),
                           [sign](const std::string& line) { return std::string{sign} + " " + line; });
}

} // namespace

std::vector<std::string> diff_declarations(std::string_view before, std::string_view after) {
    auto old_tables = split_tables(before);
    auto new_tables = split_tables(after);
    tables headings = old_tables;
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
