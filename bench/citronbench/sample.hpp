#ifndef CITRONWICK_BENCH_SAMPLE_HPP_INCLUDED
#define CITRONWICK_BENCH_SAMPLE_HPP_INCLUDED

#include <vector>

namespace citronwick::bench {

/// Measured values of one quantity.
class sample {
public:
    void add(double value) { values_.push_back(value); }
    bool empty() const { return values_.empty(); }
    std::size_t size() const { return values_.size(); }

    /// Value below which a share of the values lies, 0 for an empty sample.
    /// @param share from 0 to 1
    double quantile(double share) const;
    double max() const { return quantile(1.0); }
    double mean() const;

private:
    std::vector<double> values_;
};

} // namespace citronwick::bench

#endif
