#ifndef CITRONWICK_CONTROL_UPSTREAM_USAGE_HPP_INCLUDED
#define CITRONWICK_CONTROL_UPSTREAM_USAGE_HPP_INCLUDED

#include <atomic>
#include <cstdint>
#include <memory>

namespace citronwick {

/// Requests that this router has in flight on one upstream. Traffic threads
/// count, the control thread reads.
struct upstream_usage {
    std::atomic<std::int32_t> in_flight{0};
};

/// Counts one request on an upstream for as long as it lives.
class usage_guard {
public:
    explicit usage_guard(std::shared_ptr<upstream_usage> usage) : usage_{std::move(usage)} {
        usage_->in_flight.fetch_add(1, std::memory_order_relaxed);
    }
    usage_guard(const usage_guard&) = delete;
    usage_guard& operator=(const usage_guard&) = delete;
    usage_guard(usage_guard&&) = default;
    usage_guard& operator=(usage_guard&&) = delete;
    ~usage_guard() {
        if (usage_) {
            usage_->in_flight.fetch_sub(1, std::memory_order_relaxed);
        }
    }

private:
    std::shared_ptr<upstream_usage> usage_;
};

} // namespace citronwick

#endif
