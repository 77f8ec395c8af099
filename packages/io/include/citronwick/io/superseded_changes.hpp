#ifndef CITRONWICK_IO_SUPERSEDED_CHANGES_HPP_INCLUDED
#define CITRONWICK_IO_SUPERSEDED_CHANGES_HPP_INCLUDED

#include "citronwick/io/watched_kv_client.hpp"

namespace citronwick {

/// Leaves out each value that the same key's next change replaces by another
/// value. The last value before a removal stays: it may say why the key went.
void drop_superseded(kv_changes& seen);

} // namespace citronwick

#endif
