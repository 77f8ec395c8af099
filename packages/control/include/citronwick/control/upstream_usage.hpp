#ifndef CITRONWICK_CONTROL_UPSTREAM_USAGE_HPP_INCLUDED
#define CITRONWICK_CONTROL_UPSTREAM_USAGE_HPP_INCLUDED

#include <atomic>
#include <cstdint>
#include <memory>

namespace citronwick {

/// In-flight requests on one upstream. Traffic threads count this router's
/// requests; the control thread estimates those of the other routers.
struct upstream_usage {
    std::atomic<std::int32_t> in_flight{0};        ///< requests of this router
    std::atomic<std::int32_t> remote_in_flight{0}; ///< estimated requests of all other routers

    std::int32_t total() const {
        return in_flight.load(std::memory_order_relaxed) + remote_in_flight.load(std::memory_order_relaxed);
    }
};

/// Counts one request as in flight on an upstream for the guard's lifetime.
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
