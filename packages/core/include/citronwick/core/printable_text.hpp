#ifndef CITRONWICK_CORE_PRINTABLE_TEXT_HPP_INCLUDED
#define CITRONWICK_CORE_PRINTABLE_TEXT_HPP_INCLUDED

#include <string>
#include <string_view>

namespace citronwick {

/// Text of another program for logs and pages: visible ASCII and blanks as they are, other bytes as "\xNN",
/// and "..." in place of what follows the first 256 bytes.
std::string printable(std::string_view text);

} // namespace citronwick

#endif
