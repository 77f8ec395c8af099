#ifndef CITRONWICK_POLICY_STREAM_NUMBERING_HPP_INCLUDED
#define CITRONWICK_POLICY_STREAM_NUMBERING_HPP_INCLUDED

#include <cstdint>

namespace citronwick {

/// How a software version of a service numbers the events of its streams.
enum class stream_numbering : std::uint8_t {
    consecutive, ///< each identifier is one more than the one before
    with_gaps    ///< in any other way
};

} // namespace citronwick

#endif
