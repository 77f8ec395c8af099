#include "sample.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citronwick::bench {

double sample::quantile(double level) const {
    if (values_.empty()) {
        return 0.0;
    }
    auto sorted = values_;
    std::ranges::sort(sorted);
    const auto rank = static_cast<std::size_t>(std::ceil(level * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

double sample::mean() const {
    return values_.empty()
               ? 0.0
               : std::accumulate(values_.begin(), values_.end(), 0.0) / static_cast<double>(values_.size());
}

} // namespace citronwick::bench
