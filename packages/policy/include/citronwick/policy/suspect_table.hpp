#ifndef CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace citronwick {

/// Tracks requests, and parts of prompts, that may crash upstreams, by fingerprint.
///
/// Every request that is in flight on an upstream when it crashes becomes a
/// suspect, and so may the parts of its prompt. What was in flight during
/// `crash_limit` crashes without ever being served is refused until its entry
/// expires. If the table is full, the entry that was updated longest ago gives way.
class suspect_table {
public:
    using fingerprint = std::uint64_t;

    /// Number of crashes at which a request is refused.
    static constexpr std::uint8_t crash_limit = 2;

    /// Identifies one crash; the same on all routers that observed it, never 0.
    using crash_id = std::uint32_t;

    /// Records that a request was in flight on an upstream that crashed. A crash
    /// that several routers record counts once.
    /// @return number of crashes recorded for the request
    std::uint8_t record_crash(fingerprint request, crash_id crash, time_point now);

    /// Merges a crash that another router observed.
    /// @param crashed_at time of the crash
    /// @return whether the crash was not known before
    bool merge(fingerprint request, crash_id crash, time_point crashed_at, time_point now);

    /// Records that an upstream served the request, so the request did not cause the
    /// crashes. It is no longer a suspect.
    /// @return whether the request had an entry that was not yet marked as served
    bool record_served(fingerprint request, time_point now);

    /// Number of crashes recorded for a request; 0 if it was served or its entry has expired.
    std::uint8_t crashes(fingerprint request, time_point now) const;

    /// What is known about a request or a part of a prompt.
    struct suspicion {
        std::size_t crashes = 0;
        std::size_t separate_crashes = 0; ///< those far enough apart in time to count against a part
        bool was_served = false;          ///< after it had become a suspect
    };

    suspicion suspicion_of(fingerprint suspect, time_point now) const;

    /// Whether the suspect was on an upstream that crashed before a time.
    bool was_suspected_at(fingerprint request, time_point then) const;

    /// Finds a part of a prompt that is to be refused: one that has reached the limit,
    /// unless a suspect outside of this prompt explains all of its crashes. Parts that
    /// only ever occurred beside the one that crashes upstreams are thereby served,
    /// and cleared. Crashes at about the same time count once, since upstreams
    /// that fail together may all hold requests with a popular part.
    std::optional<fingerprint> refused_part(std::span<const fingerprint> parts, std::uint8_t limit,
                                            time_point now) const;

    /// A crash of a suspect.
    struct crash_record {
        fingerprint suspect = 0;
        crash_id crash = 0;
        time_point crashed_at;
    };

    /// All crashes of the first suspect after `previous` that has reached the limit,
    /// in order of fingerprint and starting over at the end; empty if there is none.
    std::vector<crash_record> next_refused(fingerprint previous, std::uint8_t limit, time_point now) const;

    /// Removes expired entries.
    void expire(time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::map<crash_id, time_point> crashes;
        bool was_served = false;
        time_point updated_at;
    };

    entry& entry_of(fingerprint request);
    std::size_t separate_crashes(fingerprint request, time_point now) const;

    std::map<fingerprint, entry> entries_;
};

} // namespace citronwick

#endif
