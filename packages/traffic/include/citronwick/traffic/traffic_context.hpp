#ifndef CITRONWICK_TRAFFIC_TRAFFIC_CONTEXT_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TRAFFIC_CONTEXT_HPP_INCLUDED

#include "citronwick/policy/retry_budget.hpp"
#include "citronwick/traffic/admission.hpp"
#include "citronwick/traffic/async_mutex.hpp"
#include "citronwick/traffic/connection_pool.hpp"
#include "citronwick/traffic/metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"

namespace citronwick {

class control_plane;

/// What all traffic threads share.
struct traffic_context {
    control_plane& control;
    const traffic_settings& settings;
    metrics& counters;
    admission& admitter;
    async_mutex& suspect_turn; ///< requests that were on a crashed upstream run one at a time
};

/// What belongs to one traffic thread.
struct thread_context {
    traffic_context& shared;
    connection_pool pool;
    retry_budget retries;
};

} // namespace citronwick

#endif
