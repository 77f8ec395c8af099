#ifndef CITRONWICK_CORE_FIELD_VALUE_HPP_INCLUDED
#define CITRONWICK_CORE_FIELD_VALUE_HPP_INCLUDED

#include <string_view>

namespace citronwick {

/// Whether a text can be the value of a header field (RFC 9110, section 5.5): no control characters but
/// tabs, and neither blanks nor tabs at its ends.
bool is_field_value(std::string_view text);

/// Whether a text can name a VM or an upstream: visible ASCII, and blanks between. Every such name is a
/// field value that all receivers read alike.
bool is_vm_name(std::string_view text);

} // namespace citronwick

#endif
