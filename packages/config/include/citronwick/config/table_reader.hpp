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

/// Faults of one TOML file, each with file, line, key and what was expected.
class problem_list {
public:
    explicit problem_list(std::string file) : file_{std::move(file)} {}

    void add(const toml::source_region& where, const std::string& key, const std::string& what);
    bool empty() const { return lines_.empty(); }
    const std::string& file() const { return file_; }

    /// All faults, one a line.
    std::string text() const;

private:
    std::string file_;
    std::vector<std::string> lines_;
};

/// Name among `known` that is closest to `wanted`, or empty if none is near.
std::string closest_name(std::string_view wanted, const std::vector<std::string>& known);

/// Reads the keys of one TOML table into members. Ill-typed and unknown keys
/// are added to the list of problems; `finish` looks for the unknown ones.
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

    /// Reads a key that must be present.
    template <class T>
    table_reader& require(std::string_view key, T& target) {
        if (!table_.contains(key)) {
            problems_.add(table_.source(), path_of(key), "missing");
        }
        return read(key, target);
    }

    /// Sub-table, an empty one where the key is absent.
    const toml::table& table(std::string_view key);

    /// Tables of an array of tables.
    std::vector<const toml::table*> tables(std::string_view key);

    /// Adds a problem with the value of a key.
    void reject(std::string_view key, const std::string& what);

    /// Reports the keys that no call has read.
    void finish();

    std::string path_of(std::string_view key) const;

private:
    /// @return the node, null where the key is absent
    const toml::node* take(std::string_view key);

    const toml::table& table_;
    std::string path_;
    problem_list& problems_;
    std::set<std::string, std::less<>> known_;
};

} // namespace citronwick

#endif
