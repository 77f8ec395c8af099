#include "citronwick/policy/token_bucket.hpp"

#include <algorithm>

namespace citronwick {

token_bucket::token_bucket(double rate, double burst, time_point now)
    : rate_{rate}, burst_{burst}, balance_{burst}, refilled_at_{now} {}

void token_bucket::refill(time_point now) {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    balance_ = std::min(burst_, balance_ + rate_ * elapsed.count());
    refilled_at_ = now;
}

bool token_bucket::take(double tokens, time_point now) {
    refill(now);
    if (balance_ < tokens) {
        return false;
    }
    balance_ -= tokens;
    return true;
}

void token_bucket::charge(double tokens, time_point now) {
    refill(now);
    balance_ -= tokens;
}

} // namespace citronwick
