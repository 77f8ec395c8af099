#ifndef CITRONWICK_TRAFFIC_AUTHENTICATION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_AUTHENTICATION_HPP_INCLUDED

#include <string_view>

namespace citronwick {

class declaration;
struct team;

/// Team whose key an Authorization header carries ("Bearer KEY").
/// @return null where the header or the key is unknown
const team* authenticate(const declaration& declared, std::string_view authorization);

} // namespace citronwick

#endif
