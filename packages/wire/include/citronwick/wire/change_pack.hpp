#ifndef CITRONWICK_WIRE_CHANGE_PACK_HPP_INCLUDED
#define CITRONWICK_WIRE_CHANGE_PACK_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/wire/messages.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace citronwick::wire {

/// Serializes and compresses changes of the store for a datagram. Large
/// declarations are repetitive, and small machines have little bandwidth.
std::string pack_changes(const std::vector<change_entry>& changes);

/// Reverses `pack_changes`.
/// @param peer the sender, named in the `failure` if the bytes are malformed
result<std::vector<change_entry>> unpack_changes(std::string_view packed, const std::string& peer);

} // namespace citronwick::wire

#endif
