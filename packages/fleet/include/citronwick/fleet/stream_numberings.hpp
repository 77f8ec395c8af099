#ifndef CITRONWICK_FLEET_STREAM_NUMBERINGS_HPP_INCLUDED
#define CITRONWICK_FLEET_STREAM_NUMBERINGS_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/policy/stream_numbering.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace citronwick {

/// Remembers for a while how versions of services number the events of their streams, as this
/// router and others saw. A stream with gaps outweighs all those without.
/// Thread-safe: traffic threads record and ask, the control thread exchanges it with other routers.
class stream_numberings {
public:
    /// Records a stream.
    /// @param version see `begun_streams::version_hash`
    void record(std::uint32_t version, stream_numbering seen, time_point now);

    /// Empty if no stream of the version was seen lately.
    std::optional<stream_numbering> numbering_of(std::uint32_t version, time_point now) const;

    /// What is known of one version, as told to another router.
    std::optional<wire::stream_numbering> entry_of(std::uint32_t version, time_point now) const;

    /// Whether a router tells others what it learnt from a message.
    enum class relay : std::uint8_t { none, once };

    /// Merges what another router tells.
    void merge(const std::vector<wire::stream_numbering>& entries, relay mode, time_point now);

    /// What is to be told with the next message to other routers.
    std::vector<wire::stream_numbering> take_updates(time_point now);

    /// Tells everything again, as a router has started.
    void tell_again();

    /// Removes expired entries.
    void expire(time_point now);

private:
    struct entry {
        stream_numbering numbering = stream_numbering::consecutive;
        time_point seen_at;
        std::size_t untold = 0; ///< messages that are still to tell it
    };

    bool update(std::uint32_t version, stream_numbering seen, time_point seen_at, time_point now);
    static wire::stream_numbering to_wire(std::uint32_t version, const entry& known, time_point now);

    mutable std::mutex mutex_;
    std::map<std::uint32_t, entry> entries_; ///< by version
};

} // namespace citronwick

#endif
