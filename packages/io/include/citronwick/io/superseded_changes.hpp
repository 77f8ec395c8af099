#ifndef CITRONWICK_IO_SUPERSEDED_CHANGES_HPP_INCLUDED
#define CITRONWICK_IO_SUPERSEDED_CHANGES_HPP_INCLUDED

#include "citronwick/io/watched_kv_client.hpp"

namespace citronwick {

/// Removes each change that sets a value if the next change of the same key sets another.
/// The last value before a removal is kept, as it may state why the key was removed.
void drop_superseded(kv_changes& batch);

} // namespace citronwick

#endif
