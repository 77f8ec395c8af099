#ifndef CITRONWICK_POLICY_BUFFER_BUDGET_HPP_INCLUDED
#define CITRONWICK_POLICY_BUFFER_BUDGET_HPP_INCLUDED

#include <atomic>
#include <cstddef>

namespace citronwick {

/// Bound on the bytes that all requests of a process buffer together. Any thread may use it.
///
/// Small requests may use all of it, larger ones leave a reserve for these. A large request may
/// hold no more than is still free, so that a few of them cannot keep out others.
class buffer_budget {
public:
    explicit buffer_budget(std::size_t limit) : limit_{limit} {}
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;
    ~buffer_budget() = default;

    /// Takes bytes for a request, if they fit.
    /// @param held bytes that the request holds already
    bool take(std::size_t held, std::size_t more);

    void release(std::size_t bytes) { used_.fetch_sub(bytes, std::memory_order_relaxed); }

    std::size_t used() const { return used_.load(std::memory_order_relaxed); }
    std::size_t limit() const { return limit_; }

private:
    std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

/// Part of a process's memory that requests may buffer.
/// @param memory bytes that the process may use
std::size_t bytes_for_buffers(std::size_t memory);

} // namespace citronwick

#endif
