#ifndef CITRONWICK_POLICY_TOKEN_BUCKET_HPP_INCLUDED
#define CITRONWICK_POLICY_TOKEN_BUCKET_HPP_INCLUDED

#include "citronwick/core/time.hpp"

namespace citronwick {

/// Token bucket that may be overdrawn: what must be sent is sent and paid for
/// by what can wait.
class token_bucket {
public:
    /// @param rate tokens a second
    /// @param burst most tokens that are saved up
    token_bucket(double rate, double burst, time_point now);

    /// Takes tokens if that many are left.
    bool take(double tokens, time_point now);

    /// Takes tokens unconditionally; the balance may become negative.
    void charge(double tokens, time_point now);

private:
    void refill(time_point now);

    double rate_;
    double burst_;
    double balance_;
    time_point refilled_at_;
};

} // namespace citronwick

#endif
