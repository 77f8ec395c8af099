#include "citronwick/policy/buffer_budget.hpp"

#include <algorithm>

namespace citronwick {

namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
/// For the program, its view of the fleet, and the connections with their headers.
constexpr std::size_t base_bytes = 64 * mebibyte;
/// A growing string holds its old and its new memory for a moment.
constexpr std::size_t growth_factor = 2;
/// Least part for buffers, where the memory is less than assumed above.
constexpr std::size_t min_divisor = 8;

/// Largest requests of the two classes that may use the reserves.
constexpr std::size_t tiny_bytes = 4'096;
constexpr std::size_t small_bytes = 65'536;
constexpr std::size_t tiny_reserve_divisor = 8;
constexpr std::size_t small_reserve_divisor = 4; ///< includes the reserve for tiny requests

bool fits(std::size_t limit, std::size_t used, std::size_t held, std::size_t more) {
    const std::size_t after = used + more;
    const std::size_t size = held + more;
    if (size <= tiny_bytes) {
        return after <= limit;
    }
    if (size <= small_bytes) {
        return after <= limit - limit / tiny_reserve_divisor;
    }
    const std::size_t shared = limit - limit / small_reserve_divisor;
    return after <= shared && size <= shared - after + more;
}

} // namespace

bool buffer_budget::take(std::size_t held, std::size_t more) {
    std::size_t used = used_.load(std::memory_order_relaxed);
    while (fits(limit_, used, held, more)) {
        if (used_.compare_exchange_weak(used, used + more, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

std::size_t bytes_for_buffers(std::size_t memory) {
    const std::size_t beyond_base = memory - std::min(memory, base_bytes);
    return std::max(beyond_base / growth_factor, memory / min_divisor);
}

} // namespace citronwick
