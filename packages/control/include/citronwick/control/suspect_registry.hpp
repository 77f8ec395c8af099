#ifndef CITRONWICK_CONTROL_SUSPECT_REGISTRY_HPP_INCLUDED
#define CITRONWICK_CONTROL_SUSPECT_REGISTRY_HPP_INCLUDED

#include "citronwick/policy/recent_keys.hpp"
#include "citronwick/policy/suspect_table.hpp"
#include "citronwick/wire/messages.hpp"

#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace citronwick {

/// Thread-safe table of the requests and prompt parts suspected of crashing
/// upstreams. Traffic threads record what was served; the control thread records
/// crashes and gossips both.
class suspect_registry {
public:
    suspect_registry();

    /// Records that an upstream crashed while it held the request, and queues the
    /// record for gossip.
    /// @param crash identifies the crash, equal on all routers that observed it; not 0
    /// @return number of crashes attributed to the request so far
    std::uint8_t record_crash(std::uint64_t request, std::uint32_t crash, time_point now);

    /// Records that an upstream has served the request. If that refutes crashes,
    /// queues the record for gossip.
    void record_served(std::uint64_t request, time_point now);

    /// As `record_served`, for a part of a prompt. Refutes the crashes before the
    /// request was sent.
    void record_served_part(std::uint64_t part, time_point sent_at, time_point now);

    bool was_served_recently(std::uint64_t part, time_point now) const;

    /// @return the part of a prompt that crashes upstreams, if any
    std::optional<std::uint64_t> refused_part(std::span<const std::uint64_t> parts, std::uint8_t limit,
                                              time_point now) const;

    /// @return number of crashes attributed to the request or prompt part
    std::uint8_t crashes(std::uint64_t request, time_point now) const;

    /// @return what is known about the request or prompt part
    suspect_table::suspicion suspicion_of(std::uint64_t suspect, time_point now) const;

    /// Merges the records of another router, and queues new ones for gossip.
    void merge(const std::vector<wire::suspect_entry>& entries, time_point now);

    /// @return the records queued for gossip since the last call, and from time to time
    ///         those of one refused suspect, for routers that missed them
    std::vector<wire::suspect_entry> take_updates(time_point now);

    /// Records that are new since the last call.
    struct news {
        std::vector<wire::suspect_entry> own;   ///< observed by this router
        std::vector<wire::suspect_entry> heard; ///< from other routers
    };

    news take_news(time_point now);

    /// @return one hash for each group of suspects, see `suspect_table::digest`
    std::vector<std::uint16_t> digest(time_point now);

    /// @return records of the groups in which another router's digest differs from
    ///         this one's, at most `max_records`
    std::vector<wire::suspect_entry> records_unlike(const std::vector<std::uint16_t>& digest,
                                                    std::size_t max_records, time_point now);

    void expire(time_point now);

private:
    /// A record to gossip.
    struct update {
        suspect_table::record record;
        bool is_own = false;
    };

    const std::vector<std::uint16_t>& digest_locked(time_point now);
    void append_records_unlike(const std::vector<std::uint16_t>& digest, std::size_t first, std::size_t last,
                               std::size_t max_records, time_point now,
                               std::vector<wire::suspect_entry>& found);
    void record_served_locked(std::uint64_t suspect, time_point served_at, bool is_own, time_point now);
    void log_repeated_crash(std::uint64_t suspect, time_point crashed_at, time_point now) const;

    mutable std::mutex mutex_;
    suspect_table table_;
    recent_keys served_parts_;
    std::vector<update> updates_;
    std::optional<std::vector<std::uint16_t>> digest_; ///< of the current table, if it was asked for
    std::size_t sent_records_ = 0;                     ///< in responses to digests that had to leave some out
    std::uint64_t last_repeated_ = 0;                  ///< suspect whose records were repeated last
    time_point repeated_at_;
};

} // namespace citronwick

#endif
