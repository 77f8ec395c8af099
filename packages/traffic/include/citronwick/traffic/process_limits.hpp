#ifndef CITRONWICK_TRAFFIC_PROCESS_LIMITS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PROCESS_LIMITS_HPP_INCLUDED

#include "citronwick/policy/descriptor_shares.hpp"

namespace citronwick {

struct traffic_settings;

/// Shares of the descriptors that both the settings and the operating system allow.
descriptor_shares shares_in_force(const traffic_settings& settings);

} // namespace citronwick

#endif
