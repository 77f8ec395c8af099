#ifndef CITRONWICK_CONFIG_TABLE_READER_HPP_INCLUDED
#define CITRONWICK_CONFIG_TABLE_READER_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace citronwick {

/// Collects the problems of a TOML file as lines of file, line number, key and message.
class problem_list {
public:
    explicit problem_list(std::string file) : file_{std::move(file)} {}

    void add(const toml::source_region& where, const std::string& key, const std::string& what);
    bool empty() const { return lines_.empty(); }
    const std::string& file() const { return file_; }

    /// All problems, one per line.
    std::string text() const;

private:
    std::string file_;
    std::vector<std::string> lines_;
};

/// Name in `known` with the smallest edit distance to `wanted`, for "did you mean" hints; empty if
/// none is within 3 edits.
std::string closest_name(std::string_view wanted, const std::vector<std::string>& known);

/// Reads the values of one TOML table into variables. Values of the wrong type are
/// added to the list of problems, and `finish` adds the keys that were never read.
class table_reader {
public:
    table_reader(const toml::table& table, std::string path, problem_list& problems);

    table_reader& read(std::string_view key, std::string& target);
    table_reader& read(std::string_view key, double& target);
    table_reader& read(std::string_view key, std::uint32_t& target);
    table_reader& read(std::string_view key, bool& target);
    table_reader& read(std::string_view key, std::chrono::milliseconds& target);
    table_reader& read(std::string_view key, endpoint& target);
    table_reader& read(std::string_view key, std::vector<std::string>& target);
    table_reader& read(std::string_view key, std::vector<endpoint>& target);

    /// Reads a required key.
    template <class T>
    table_reader& require(std::string_view key, T& target) {
        if (!table_.contains(key)) {
            problems_.add(table_.source(), path_of(key), "missing");
        }
        return read(key, target);
    }

    /// Returns a sub-table, or an empty table if the key is absent.
    const toml::table& table(std::string_view key);

    /// Returns the elements of an array of tables.
    std::vector<const toml::table*> tables(std::string_view key);

    /// Adds a problem at the position of a key's value.
    void reject(std::string_view key, const std::string& what);

    /// Adds a problem for each key that no call has read.
    void finish();

    /// Dotted path of a key from the root of the file, for messages.
    std::string path_of(std::string_view key) const;

private:
    /// Looks up a key and marks it as read.
    /// @return null if the key is absent
    const toml::node* find(std::string_view key);

    const toml::table& table_;
    std::string path_;
    problem_list& problems_;
    std::set<std::string, std::less<>> read_keys_;
};

} // namespace citronwick

#endif
