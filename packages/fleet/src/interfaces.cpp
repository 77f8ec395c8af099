#include "citronwick/fleet/platform_adapter.hpp"
#include "citronwick/fleet/request_dialect.hpp"

namespace citronwick {

request_dialect::~request_dialect() = default;

std::optional<std::uint64_t> request_dialect::read_incarnation(std::string_view /*report*/) const {
    return std::nullopt;
}

platform_adapter::~platform_adapter() = default;

} // namespace citronwick
