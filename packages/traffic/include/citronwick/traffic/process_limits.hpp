#ifndef CITRONWICK_TRAFFIC_PROCESS_LIMITS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PROCESS_LIMITS_HPP_INCLUDED

#include "citronwick/policy/descriptor_shares.hpp"

namespace citronwick {

struct traffic_settings;

/// Shares of the descriptors that both the settings and the operating system allow.
descriptor_shares shares_in_force(const traffic_settings& settings);

/// Bytes that all requests together may buffer.
std::size_t buffer_limit(const traffic_settings& settings);

/// Makes large buffers go back to the operating system when they are released. By default
/// the C library raises the size from which it does so, and keeps what lies between blocks in use.
void release_large_buffers();

} // namespace citronwick

#endif
