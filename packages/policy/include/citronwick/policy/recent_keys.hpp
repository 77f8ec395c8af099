#ifndef CITRONWICK_POLICY_RECENT_KEYS_HPP_INCLUDED
#define CITRONWICK_POLICY_RECENT_KEYS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace citronwick {

/// Remembers for a limited time when keys were last recorded. Beyond its capacity,
/// new keys are not remembered until others have expired.
class recent_keys {
public:
    recent_keys(duration lifetime, std::size_t capacity) : lifetime_{lifetime}, capacity_{capacity} {}

    void record(std::uint64_t key, time_point at);

    /// Latest time at which the key was recorded, none if that has expired.
    std::optional<time_point> recorded_at(std::uint64_t key, time_point now) const;

    /// Removes expired keys.
    void expire(time_point now);

private:
    duration lifetime_;
    std::size_t capacity_;
    std::map<std::uint64_t, time_point> recorded_at_;
};

} // namespace citronwick

#endif
