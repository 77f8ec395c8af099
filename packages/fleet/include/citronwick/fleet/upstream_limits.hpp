#ifndef CITRONWICK_FLEET_UPSTREAM_LIMITS_HPP_INCLUDED
#define CITRONWICK_FLEET_UPSTREAM_LIMITS_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/policy/rate_limit_table.hpp"
#include "citronwick/wire/messages.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronwick {

struct permit_decision;

/// Rate limits of the upstreams and which of them are brittle, as this router's responses and other
/// routers tell, and the pauses that they ask this router for.
/// Shared by the traffic threads; the control thread exchanges it with other routers.
/// Every change is logged.
class upstream_limits {
public:
    /// Records a response of an upstream.
    /// @param upstream hash of its incarnation
    /// @param id for the log
    /// @param limit requests a second that it names, none if it names no limit; ignored
    ///        if it is not a finite, non-negative number
    /// @param sent_at when the request was sent
    void record_response(std::uint64_t upstream, const std::string& id, std::optional<double> limit,
                         time_point sent_at, time_point now);

    /// Records whether an upstream said in a response that it is brittle.
    /// @param upstream hash of its incarnation
    /// @param id for the log
    /// @param refusals a second that it bears, none if it is not brittle; ignored if this is not a
    ///        finite, non-negative number
    /// @param sent_at when the request was sent
    void record_brittle(std::uint64_t upstream, const std::string& id, std::optional<double> refusals,
                        time_point sent_at, time_point now);

    /// Records that an upstream that is not brittle refused a request for want of room, or that a request
    /// found no place on one that had done so.
    /// @param upstream hash of its incarnation
    /// @param id for the log
    void record_shortage(std::uint64_t upstream, const std::string& id, time_point now);

    /// Whether any upstream is known to be brittle or short of room. Takes no lock.
    bool has_brittle() const { return has_brittle_.load(std::memory_order_relaxed); }

    /// Records that a brittle upstream refused a request for want of room.
    void record_refusal(std::uint64_t upstream, const std::string& id, time_point now);

    /// Records that an upstream refused a request and wants no others from this router
    /// for a while.
    void record_pause(std::uint64_t upstream, const std::string& id, duration pause, time_point now);

    /// End of the pause that the upstream asked this router for, none if it is over.
    std::optional<time_point> paused_until(std::uint64_t upstream, time_point now) const;

    /// Requests a second that the upstream takes; empty if no limit holds.
    std::optional<double> limit_of(std::uint64_t upstream) const;

    /// Records the coordinator's decision on a request for a permit.
    void record_decision(std::uint64_t upstream, const permit_decision& decision, time_point now);

    /// What is known about the limit of one upstream.
    struct summary {
        std::optional<double> per_second; ///< empty if no limit holds
        bool may_request_permit = true;
        bool is_paused = false;       ///< it wants no requests from this router now
        double permit_price_ms = 0.0; ///< estimated from the coordinator's last decision
        /// That it bears; empty if it is neither brittle nor short of room.
        std::optional<double> refusals_per_second{};
        bool is_short = false;           ///< it is not brittle, and has refused requests for want of room
        bool has_refused_lately = false; ///< this router, although it is brittle
    };

    /// An upstream of which nothing is known counts as brittle if others of its service are.
    /// @param upstreams hashes of all upstreams of a service
    /// @return one summary for each upstream, in the same order
    std::vector<summary> summaries(const std::vector<std::uint64_t>& upstreams, time_point now) const;

    /// Merges what another router tells.
    /// @param from_own_domain whether it tells its own observations to its coordinator
    void merge(const std::vector<wire::limit_entry>& entries, bool from_own_domain, time_point now);

    /// This router's own observations, if some are to be reported now.
    std::vector<wire::limit_entry> take_report(time_point now);

    /// All known limits, or those that were observed in this failure domain.
    std::vector<wire::limit_entry> all(time_point now) const;
    std::vector<wire::limit_entry> of_domain(time_point now) const;

    /// Number of changes of the known limits since start.
    std::uint64_t change_count() const;

    /// Upstreams whose limit holds.
    std::map<std::uint32_t, double> in_force() const;

    /// Removes upstreams that are no longer known.
    /// @param upstreams hashes of the known ones
    void expire(const std::set<std::uint64_t>& upstreams, time_point now);

private:
    /// What upstreams name of one kind.
    struct tables {
        rate_limit_table known;
        rate_limit_table own;    ///< observed by this router
        rate_limit_table domain; ///< observed by this router or reported to it as coordinator

        void expire(const std::set<std::uint32_t>& upstreams, time_point now);
    };

    bool record(tables& kind, std::uint32_t upstream, std::optional<double> named, time_point sent_at,
                time_point now);
    void note_brittle();
    void log_limit(std::uint32_t upstream, const std::string& id, const char* source) const;
    void log_brittle(std::uint32_t upstream, const std::string& id, const char* source) const;
    bool is_short(std::uint32_t upstream) const;
    std::optional<double> refusals_of(std::uint32_t upstream, time_point now) const;

    mutable std::mutex mutex_;
    tables rates_;
    tables refusals_;                                ///< a second that brittle upstreams bear
    std::map<std::uint64_t, time_point> refused_at_; ///< by brittle upstream
    struct permit_terms {
        time_point rejected_until; ///< time from which a permit may be requested again
        double price_ms = 0.0;     ///< at that time
        time_point full_at;        ///< time from which the price is 0

        double price_at(time_point now) const;
    };
    std::map<std::uint32_t, permit_terms> permit_terms_;
    std::map<std::uint64_t, time_point> paused_until_; ///< by upstream
    std::atomic<bool> has_brittle_{false};             ///< whether `refusals_` has entries
    bool report_is_urgent_ = false;
    time_point reported_at_;
    std::uint64_t changes_ = 0;
};

} // namespace citronwick

#endif
