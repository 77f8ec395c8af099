#ifndef CITRONWICK_CTL_DECLARATION_DIFF_HPP_INCLUDED
#define CITRONWICK_CTL_DECLARATION_DIFF_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Compares two declarations table by table, without regard to order, comments and
/// indentation.
/// @return for each table that differs its heading, then "- ..." for each removed
///     line and "+ ..." for each added one
std::vector<std::string> diff_declarations(std::string_view before, std::string_view after);

} // namespace citronwick

#endif
