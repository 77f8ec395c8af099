#ifndef CITRONWICK_POLICY_TOKEN_BUCKET_HPP_INCLUDED
#define CITRONWICK_POLICY_TOKEN_BUCKET_HPP_INCLUDED

#include "citronwick/core/time.hpp"

namespace citronwick {

/// Token bucket with debt: mandatory messages are always sent and may make the
/// balance negative, which delays optional messages.
class token_bucket {
public:
    /// @param rate tokens added per second
    /// @param burst maximum number of tokens in the bucket
    token_bucket(double rate, double burst, time_point now);

    /// Takes tokens if enough are available.
    /// @return whether they were taken
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
