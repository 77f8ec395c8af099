#ifndef CITRONWICK_TRAFFIC_AUTHENTICATION_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_AUTHENTICATION_HPP_INCLUDED

#include <string_view>

namespace citronwick {

class declaration;
struct team;

/// Finds the team by the key in an Authorization header ("Bearer KEY").
/// @return null if the header has another form or the key belongs to no team
const team* authenticate(const declaration& declared, std::string_view authorization);

} // namespace citronwick

#endif
