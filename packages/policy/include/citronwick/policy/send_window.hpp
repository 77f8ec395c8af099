#ifndef CITRONWICK_POLICY_SEND_WINDOW_HPP_INCLUDED
#define CITRONWICK_POLICY_SEND_WINDOW_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <deque>
#include <mutex>

namespace citronwick {

struct cold_allowance;

/// Requests that this router sends to one upstream while that is cold.
///
/// A request reserves its place before it connects and counts from the moment at which it is sent, so
/// that slow connects don't bring sends closer together. May be used by several threads.
class send_window {
public:
    /// Whether the allowance has room for one more request.
    bool has_room(const cold_allowance& allowance, time_point now) const;

    /// Reserves room for one request.
    /// @return false if there is none
    bool reserve(const cold_allowance& allowance, time_point now);

    /// Turns a reservation into a sent request.
    void record_sent(time_point now);

    /// Gives a reservation back, as nothing was sent.
    void release();

    /// Sets the time before which nothing may be sent. An earlier process of this router may have used
    /// its places until just before.
    void close_until(time_point opens_at);

private:
    bool has_room_locked(const cold_allowance& allowance, time_point now) const;

    mutable std::mutex mutex_;
    std::deque<time_point> sent_at_; ///< in ascending order
    std::int32_t reserved_ = 0;
    time_point opens_at_;
};

} // namespace citronwick

#endif
