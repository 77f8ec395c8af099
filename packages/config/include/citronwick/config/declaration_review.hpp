#ifndef CITRONWICK_CONFIG_DECLARATION_REVIEW_HPP_INCLUDED
#define CITRONWICK_CONFIG_DECLARATION_REVIEW_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

struct routing_declaration;

/// Something about a declaration that its author should know before it is in force.
struct review_finding {
    enum class kind : std::uint8_t {
        error,         ///< requests that it concerns fail
        never_matches, ///< an entry that no request can reach
        contradiction, ///< limits of which one makes the other meaningless
    };

    kind type = kind::error;
    std::string entry; ///< such as `route "quotes"`
    std::string detail;

    bool operator==(const review_finding&) const = default;
};

std::string_view to_text(review_finding::kind value);

/// Reviews a declaration that could be read.
/// @return what was found, in the order of the entries
std::vector<review_finding> review_declaration(const routing_declaration& declared);

/// Compares two declarations entry by entry.
/// @return lines that begin with "+" for an added, "-" for a removed and "~" for a changed entry
std::vector<std::string> compare_declarations(const routing_declaration& before,
                                              const routing_declaration& after);

} // namespace citronwick

#endif
