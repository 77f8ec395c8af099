#ifndef CITRONWICK_POLICY_RECENT_KEYS_HPP_INCLUDED
#define CITRONWICK_POLICY_RECENT_KEYS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace citronwick {

/// Remembers keys for a limited time after they were last recorded. Beyond its
/// capacity, new keys are not remembered until others have expired.
class recent_keys {
public:
    recent_keys(duration lifetime, std::size_t capacity) : lifetime_{lifetime}, capacity_{capacity} {}

    void record(std::uint64_t key, time_point now);
    bool contains(std::uint64_t key, time_point now) const;

    /// Removes expired keys.
    void expire(time_point now);

private:
    duration lifetime_;
    std::size_t capacity_;
    std::map<std::uint64_t, time_point> recorded_at_;
};

} // namespace citronwick

#endif
