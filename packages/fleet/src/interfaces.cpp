#include "citronwick/fleet/platform_adapter.hpp"
#include "citronwick/fleet/request_dialect.hpp"

namespace citronwick {

request_dialect::~request_dialect() = default;
platform_adapter::~platform_adapter() = default;

} // namespace citronwick
