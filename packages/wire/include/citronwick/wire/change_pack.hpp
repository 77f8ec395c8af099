#ifndef CITRONWICK_WIRE_CHANGE_PACK_HPP_INCLUDED
#define CITRONWICK_WIRE_CHANGE_PACK_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/wire/messages.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace citronwick::wire {

/// Packs changes of the store for a datagram, compressed: a large declaration
/// repeats itself, and the links of small machines are narrow.
std::string pack_changes(const std::vector<change_entry>& changes);

/// @param peer sender, for errors
result<std::vector<change_entry>> unpack_changes(std::string_view packed, const std::string& peer);

} // namespace citronwick::wire

#endif
