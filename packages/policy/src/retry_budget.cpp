#include "citronwick/policy/retry_budget.hpp"

#include <algorithm>

namespace citronwick {

void retry_budget::record_request(double share) {
    balance_ = std::min(balance_ + share, max_balance);
}

bool retry_budget::take_retry() {
    if (balance_ < 1.0) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace citronwick
