#ifndef CITRONWICK_POLICY_RETRY_DELAY_HPP_INCLUDED
#define CITRONWICK_POLICY_RETRY_DELAY_HPP_INCLUDED

#include "citronwick/core/time.hpp"

namespace citronwick {

/// Shortest and longest pause before a failed call is repeated.
struct retry_delays {
    duration first;
    duration longest;
};

/// Pause before a call that has failed is repeated: the first one, doubled with each
/// further failure up to the longest.
/// @param failures number of failures in a row, at least 1
duration retry_delay(const retry_delays& delays, int failures);

} // namespace citronwick

#endif
