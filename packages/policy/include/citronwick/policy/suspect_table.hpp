#ifndef CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace citronwick {

/// Tracks requests, and parts of prompts, that may crash upstreams, by fingerprint.
///
/// Every request that is in flight on an upstream when it crashes becomes a
/// suspect, and so may the parts of its prompt. Crashes count until an answer to a
/// request that was sent after them refutes them. If the table is full, the entry
/// that was updated longest ago gives way.
class suspect_table {
public:
    using fingerprint = std::uint64_t;

    /// Number of crashes at which a request is refused.
    static constexpr std::uint8_t crash_limit = 2;

    /// Number of groups into which `digest` divides the suspects of several crashes.
    static constexpr std::size_t repeated_groups = 8;
    /// Number of all groups, including as many for the suspects of one crash.
    static constexpr std::size_t digest_groups = 2 * repeated_groups;

    /// Identifies one crash; the same on all routers that observed it, never 0.
    using crash_id = std::uint32_t;

    /// Records that a request was in flight on an upstream that crashed. A crash
    /// that several routers record counts once.
    /// @return number of crashes that count against the request
    std::uint8_t record_crash(fingerprint request, crash_id crash, time_point now);

    /// Merges a crash that another router observed.
    /// @param crashed_at time of the crash
    /// @return whether the crash was not known before
    bool merge(fingerprint request, crash_id crash, time_point crashed_at, time_point now);

    /// Records that an upstream answered the request, so that it did not cause the
    /// crashes before.
    /// @param served_at time before which crashes no longer count
    /// @return whether any crash counted until then
    bool record_served(fingerprint request, time_point served_at);

    /// Number of crashes that count against a request.
    std::uint8_t crashes(fingerprint request, time_point now) const;

    /// What is known about a request or a part of a prompt.
    struct suspicion {
        std::size_t crashes = 0;          ///< known, whether they count or not
        std::size_t separate_crashes = 0; ///< those that count against a part
        bool was_served = false;          ///< after all of the crashes
    };

    suspicion suspicion_of(fingerprint suspect, time_point now) const;

    /// Whether the suspect was on an upstream that crashed before a time.
    bool was_suspected_at(fingerprint request, time_point then) const;

    /// Finds a part of a prompt that is to be refused: one that has reached the limit,
    /// unless a suspect outside of this prompt explains its crashes. Parts that
    /// only ever occurred beside the one that crashes upstreams are thereby served,
    /// and cleared. Crashes at about the same time count once, since upstreams
    /// that fail together may all hold requests with a popular part.
    std::optional<fingerprint> refused_part(std::span<const fingerprint> parts, std::uint8_t limit,
                                            time_point now) const;

    /// A crash of a suspect, or an answer that refutes the crashes before it.
    struct record {
        fingerprint suspect = 0;
        crash_id crash = 0; ///< 0 for an answer
        time_point at;
    };

    /// All crashes of the first suspect after `previous` that has reached the limit,
    /// in order of fingerprint and starting over at the end; empty if there is none.
    std::vector<record> next_refused(fingerprint previous, std::uint8_t limit, time_point now) const;

    /// One hash a group over its suspects; equal on two routers that know the same
    /// crashes of them.
    std::array<std::uint16_t, digest_groups> digest(time_point now) const;

    /// What `digest` covers in one group.
    std::vector<record> records_of_group(std::size_t group, time_point now) const;

    /// Removes expired entries.
    void expire(time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::map<crash_id, time_point> crashes;
        std::optional<time_point> served_at;
        time_point updated_at; ///< time of its last crash or answer

        bool counts(time_point crashed_at) const { return !served_at || crashed_at > *served_at; }
        std::size_t counted_crashes() const;
    };

    entry& entry_of(fingerprint request);
    const entry* find(fingerprint request, time_point now) const;
    std::size_t separate_crashes(fingerprint request, time_point now) const;
    bool explains(fingerprint other, const entry& suspect, std::uint8_t limit, time_point now) const;

    std::map<fingerprint, entry> entries_;
};

} // namespace citronwick

#endif
