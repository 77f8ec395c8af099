#include "citronwick/control/fleet_view.hpp"

#include "citronwick/control/upstream_usage.hpp"

namespace citronwick {

double estimated_in_flight(const upstream_view& upstream) {
    return upstream.usage->total();
}

candidate to_candidate(const upstream_view& upstream) {
    return {upstream.hash,  upstream.name,     upstream.weight, estimated_in_flight(upstream),
            upstream.state, upstream.joined_at};
}

} // namespace citronwick
