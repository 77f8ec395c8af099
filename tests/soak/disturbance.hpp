#ifndef CITRONWICK_TESTS_SOAK_DISTURBANCE_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_DISTURBANCE_HPP_INCLUDED

#include <atomic>
#include <chrono>

namespace citronwick::soak {

/// Counts disturbances of one kind, which may overlap.
class disturbance_count {
public:
    using clock = std::chrono::steady_clock;

    /// What had begun and was going on at some moment.
    struct sample {
        int begun = 0;
        int active = 0;
        clock::time_point last_end;
    };

    void begin() {
        ++active_;
        ++begun_;
    }
    void end() {
        last_end_ = clock::now();
        --active_;
    }
    sample now() const { return {begun_, active_, last_end_}; }

    /// Whether there was no disturbance since a sample.
    bool was_quiet_since(const sample& before) const { return before.active == 0 && begun_ == before.begun; }

private:
    std::atomic<int> begun_{0};
    std::atomic<int> active_{0};
    std::atomic<clock::time_point> last_end_{clock::time_point{}};
};

/// A disturbance that lasts as long as this object.
class disturbance {
public:
    explicit disturbance(disturbance_count& count) : count_{count} { count_.begin(); }
    disturbance(const disturbance&) = delete;
    disturbance& operator=(const disturbance&) = delete;
    ~disturbance() { count_.end(); }

private:
    disturbance_count& count_;
};

} // namespace citronwick::soak

#endif
