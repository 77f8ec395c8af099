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

/// State shared by all traffic threads.
struct traffic_context {
    control_plane& control;
    const traffic_settings& settings;
    metrics& counters;
    admission& admission_control;
    async_mutex& suspect_mutex; ///< serializes requests on which an upstream crashed
};

/// State of one traffic thread.
struct thread_context {
    traffic_context& shared;
    connection_pool pool;
    retry_budget retries;
};

} // namespace citronwick

#endif
