#ifndef CITRONWICK_CONFIG_CONFIGURATION_HPP_INCLUDED
#define CITRONWICK_CONFIG_CONFIGURATION_HPP_INCLUDED

#include "citronwick/config/declaration.hpp"
#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Small root of the configuration; replacing it puts a change in force.
struct configuration_root {
    std::uint64_t generation = 0;
    std::string active_preset;
    std::vector<std::string> chunks;  ///< digests of the declaration's chunks, in order
    std::vector<std::string> drained; ///< upstreams that take no new work
    std::string previous;             ///< digest of the root before, empty for the first
    std::string change_id;            ///< unique to one attempt, settles lost answers
    std::string writer;
    std::string time; ///< UTC, ISO 8601, for readers of the history only
    std::string reason;
};

std::string to_json(const configuration_root& root);

/// @param source name for messages
result<configuration_root> parse_configuration_root(std::string_view json, const std::string& source);

/// One generation of the configuration, checked and ready to decide with.
struct configuration {
    configuration_root root;
    std::string text; ///< the declaration as its operators wrote it
    declaration declared;
    preset active; ///< the preset in force
};

/// Checks a root and its declaration's text.
/// @return a `failure` where either is malformed or the preset is not declared
result<configuration> make_configuration(configuration_root root, std::string text);

/// One text that carries root and declaration from router to router.
std::string to_document(const configuration& value);

/// Reads what `to_document` wrote.
result<configuration> parse_document(std::string_view document, const std::string& source);

/// Splits a text at lines that its content determines, so that an edit
/// changes few chunks. No chunk exceeds the service's value limit.
std::vector<std::string> split_chunks(std::string_view text);

} // namespace citronwick

#endif
