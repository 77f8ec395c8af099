#ifndef CITRONWICK_CONFIG_CONFIGURATION_HPP_INCLUDED
#define CITRONWICK_CONFIG_CONFIGURATION_HPP_INCLUDED

#include "citronwick/config/declaration.hpp"
#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Root of one generation of the configuration. A change takes effect when its root replaces the last.
struct configuration_root {
    std::uint64_t generation = 0;
    std::string active_preset;
    std::vector<std::string> chunks;    ///< SHA-256 digests of the declaration's chunks, in order
    std::vector<std::string> drained;   ///< upstreams that receive no new requests
    std::vector<std::string> evacuated; ///< failure domains whose upstreams receive no new requests
    std::string previous;               ///< digest of the preceding root, empty for the first
    std::string change_id;              ///< unique to one commit; identifies it if its response is lost
    std::string writer;
    std::string time; ///< UTC, ISO 8601; informational only
    std::string reason;
};

std::string to_json(const configuration_root& root);

/// @param source name of the input in error messages
result<configuration_root> parse_configuration_root(std::string_view json, const std::string& source);

/// One generation of the configuration, parsed and validated.
struct configuration {
    configuration_root root;
    std::string text; ///< the declaration as the operators wrote it, in TOML
    declaration declared;
    preset active; ///< the preset that the root activates
};

/// Parses the declaration of a root and validates both.
/// @return a `failure` if the declaration is invalid or does not declare the active preset
result<configuration> make_configuration(configuration_root root, std::string text);

/// Serializes root and declaration for transfer between routers: the root as one line of JSON, then
/// the declaration.
std::string to_document(const configuration& value);

/// Parses the output of `to_document`.
result<configuration> parse_document(std::string_view document, const std::string& source);

/// Splits a text into chunks at content-defined line boundaries, so that an
/// edit changes few chunks. No chunk exceeds the key-value service's value limit.
std::vector<std::string> split_chunks(std::string_view text);

} // namespace citronwick

#endif
