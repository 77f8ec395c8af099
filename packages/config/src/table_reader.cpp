#include "citronwick/config/table_reader.hpp"

#include "citronwick/core/time.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <sstream>

namespace citronwick {

namespace {

/// Levenshtein distance of two short names.
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substitute = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitute, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

void problem_list::add(const toml::source_region& where, const std::string& key, const std::string& what) {
    std::ostringstream line;
    line << file_ << ":" << where.begin.line << ": " << key << ": " << what;
    lines_.push_back(line.str());
}

std::string problem_list::text() const {
    std::string joined;
    std::ranges::for_each(lines_, [&joined](const std::string& line) {
        joined += joined.empty() ? "" : "\n";
        joined += line;
    });
    return joined;
}

std::string closest_name(std::string_view wanted, const std::vector<std::string>& known) {
    constexpr std::size_t max_edits = 3;
    const auto distance = [wanted](const std::string& name) { return edit_distance(wanted, name); };
    const auto best = std::ranges::min_element(known, {}, distance);
    return best != known.end() && distance(*best) <= max_edits ? *best : std::string{};
}

table_reader::table_reader(const toml::table& table, std::string path, problem_list& problems)
    : table_{table}, path_{std::move(path)}, problems_{problems} {}

std::string table_reader::path_of(std::string_view key) const {
    return path_.empty() ? std::string{key} : path_ + "." + std::string{key};
}

const toml::node* table_reader::find(std::string_view key) {
    read_keys_.emplace(key);
    return table_.get(key);
}

void table_reader::reject(std::string_view key, const std::string& what) {
    const toml::node* const node = table_.get(key);
    problems_.add(node == nullptr ? table_.source() : node->source(), path_of(key), what);
}

table_reader& table_reader::read(std::string_view key, std::string& target) {
    if (const auto* const node = find(key)) {
        const auto value = node->value_exact<std::string>();
        value ? void(target = *value) : reject(key, "expected a string");
    }
    return *this;
}

table_reader& table_reader::read(std::string_view key, double& target) {
    if (const auto* const node = find(key)) {
        const auto value = node->value<double>();
        value && node->is_number() ? void(target = *value) : reject(key, "expected a number");
    }
    return *this;
}

table_reader& table_reader::read(std::string_view key, std::uint32_t& target) {
    if (const auto* const node = find(key)) {
        const auto value = node->value_exact<std::int64_t>();
        const bool fits = value && *value >= 0 && *value <= std::numeric_limits<std::uint32_t>::max();
        fits ? void(target = static_cast<std::uint32_t>(*value))
             : reject(key, "expected a non-negative whole number");
    }
    return *this;
}

table_reader& table_reader::read(std::string_view key, bool& target) {
    if (const auto* const node = find(key)) {
        const auto value = node->value_exact<bool>();
        value ? void(target = *value) : reject(key, "expected true or false");
    }
    return *this;
}

table_reader& table_reader::read(std::string_view key, std::chrono::milliseconds& target) {
    if (const auto* const node = find(key)) {
        const auto value = parse_duration(node->value_or(std::string_view{}));
        value ? void(target = *value)
              : reject(key, R"(expected a duration with its unit, such as "250ms", "3s" or "10m")");
    }
    return *this;
}

table_reader& table_reader::read(std::string_view key, endpoint& target) {
    if (const auto* const node = find(key)) {
        auto value = parse_endpoint(node->value_or(std::string_view{}));
        value ? void(target = std::move(*value))
              : reject(key, R"(expected "IP:PORT", such as "127.0.0.1:8080")");
    }
    return *this;
}

table_reader& table_reader::read(std::string_view key, std::vector<std::string>& target) {
    const auto* const node = find(key);
    if (node == nullptr) {
        return *this;
    }
    const auto* const array = node->as_array();
    if (array == nullptr || !std::ranges::all_of(*array, [](const auto& item) { return item.is_string(); })) {
        reject(key, "expected a list of strings");
        return *this;
    }
    target.clear();
    std::ranges::transform(*array, std::back_inserter(target),
                           [](const toml::node& item) { return item.value_or(std::string{}); });
    return *this;
}

table_reader& table_reader::read(std::string_view key, std::vector<endpoint>& target) {
    std::vector<std::string> texts;
    read(key, texts);
    std::ranges::for_each(texts, [&](const std::string& text) {
        auto value = parse_endpoint(text);
        value ? target.push_back(std::move(*value))
              : reject(key, "expected \"IP:PORT\", found \"" + text + "\"");
    });
    return *this;
}

const toml::table& table_reader::table(std::string_view key) {
    static const toml::table empty;
    const auto* const node = find(key);
    if (node == nullptr) {
        return empty;
    }
    if (!node->is_table()) {
        reject(key, "expected a table");
        return empty;
    }
    return *node->as_table();
}

std::vector<const toml::table*> table_reader::tables(std::string_view key) {
    std::vector<const toml::table*> found;
    const auto* const node = find(key);
    if (node == nullptr) {
        return found;
    }
    const auto* const array = node->as_array();
    if (array == nullptr || !array->is_array_of_tables()) {
        reject(key, "expected an array of tables, written [[" + path_of(key) + "]]");
        return found;
    }
    std::ranges::transform(*array, std::back_inserter(found),
                           [](const toml::node& item) { return item.as_table(); });
    return found;
}

void table_reader::finish() {
    const std::vector<std::string> known{read_keys_.begin(), read_keys_.end()};
    for (const auto& [key, node] : table_) {
        if (!read_keys_.contains(key.str())) {
            const std::string hint = closest_name(key.str(), known);
            const std::string suggestion = hint.empty() ? "" : "; did you mean \"" + hint + "\"?";
            problems_.add(node.source(), path_of(key.str()), "unknown key" + suggestion);
        }
    }
}

} // namespace citronwick
