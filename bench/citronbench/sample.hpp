#ifndef CITRONWICK_BENCH_SAMPLE_HPP_INCLUDED
#define CITRONWICK_BENCH_SAMPLE_HPP_INCLUDED

#include <vector>

namespace citronwick::bench {

/// Measured values of one quantity, with their statistics.
class sample {
public:
    void add(double value) { values_.push_back(value); }
    bool empty() const { return values_.empty(); }
    std::size_t size() const { return values_.size(); }

    /// Quantile by the nearest-rank method, 0 for an empty sample.
    /// @param level from 0 to 1
    double quantile(double level) const;
    double max() const { return quantile(1.0); }
    double mean() const;

private:
    std::vector<double> values_;
};

} // namespace citronwick::bench

#endif
