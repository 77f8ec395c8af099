#ifndef CITRONWICK_POLICY_SEQUENCE_FAULT_HPP_INCLUDED
#define CITRONWICK_POLICY_SEQUENCE_FAULT_HPP_INCLUDED

#include <cstdint>
#include <string_view>

namespace citronwick {

/// Why an event cannot come next in a stream.
enum class sequence_fault : std::uint8_t {
    repeated,     ///< its identifier is that of an earlier event, or lower
    omitted,      ///< its identifier leaves out the one that comes next
    unnumbered,   ///< it has no identifier that shows that it comes next
    other_weights ///< it was made with older weights, or with newer ones that it does not name
};

std::string_view to_text(sequence_fault value);

} // namespace citronwick

#endif
