#ifndef CITRONWICK_CTL_DECLARATION_DIFF_HPP_INCLUDED
#define CITRONWICK_CTL_DECLARATION_DIFF_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Lines that differ between two declarations, by table: "+ ..." for added
/// lines, "- ..." for removed ones, under the heading of their table.
std::vector<std::string> diff_declarations(std::string_view before, std::string_view after);

} // namespace citronwick

#endif
