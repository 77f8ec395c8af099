#include "citronwick/io/kv_client.hpp"

namespace citronwick {

kv_client::~kv_client() = default;

} // namespace citronwick
