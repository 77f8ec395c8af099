#ifndef CITRONWICK_POLICY_UPSTREAM_HEALTH_HPP_INCLUDED
#define CITRONWICK_POLICY_UPSTREAM_HEALTH_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace citronwick {

/// Answers of one upstream since the last report to other routers.
struct health_evidence {
    std::uint64_t upstream = 0;
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
};

/// Judges upstreams by what requests see of them, whatever their health pages say.
///
/// An upstream that cannot be reached is avoided for a short time that doubles
/// with each failure in a row. One that fails a much larger share of its
/// requests than its service does is avoided while others remain.
class upstream_health {
public:
    /// Notes that a connection could not be opened or went silent.
    void record_unreachable(std::uint64_t upstream, time_point now);

    /// Notes the outcome of a request that reached the upstream.
    void record_answer(std::uint64_t upstream, bool good, time_point now);

    /// Takes in what other routers saw.
    void record_evidence(const health_evidence& seen, time_point now);

    /// Whether the upstream was unreachable a moment ago.
    bool is_unreachable(std::uint64_t upstream, time_point now) const;

    /// Upstreams of one service to avoid: the outliers by share of failures, at
    /// most a third of the service.
    std::set<std::uint64_t> outliers(const std::vector<std::uint64_t>& service, time_point now) const;

    /// This router's own evidence since the last call.
    std::vector<health_evidence> take_evidence();

    /// Forgets upstreams that are not in use any more.
    void retain(const std::set<std::uint64_t>& upstreams);

private:
    struct record {
        double good = 0.0; ///< decaying counts
        double bad = 0.0;
        time_point decayed_at;
        int failures_in_row = 0;
        time_point avoid_until;
    };

    static void decay(record& of, time_point now);

    std::map<std::uint64_t, record> records_;
    std::map<std::uint64_t, health_evidence> unreported_;
};

} // namespace citronwick

#endif
