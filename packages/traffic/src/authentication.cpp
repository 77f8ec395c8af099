#include "citronwick/traffic/authentication.hpp"

#include "citronwick/config/declaration.hpp"
#include "citronwick/core/hash.hpp"

namespace citronwick {

const team* authenticate(const declaration& declared, std::string_view authorization) {
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return nullptr;
    }
    return declared.find_team(sha256_hex(authorization.substr(scheme.size())));
}

} // namespace citronwick
