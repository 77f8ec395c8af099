#include "reach_witness.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/reach_monitor.hpp"
#include "direct_connect.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Other upstreams that are tried, as several may end at the same time.
constexpr std::size_t max_tried = 3;
constexpr std::chrono::milliseconds min_connect_timeout = 20ms;

/// Upstreams at other addresses, in an order that differs between addresses.
std::vector<routed_upstream> others_of(const endpoint& address, std::vector<routed_upstream> known) {
    std::erase_if(known, [&](const routed_upstream& each) { return each.entry.address == address; });
    const std::uint64_t spread = hash64(to_text(address));
    const auto last = known.begin() + static_cast<std::ptrdiff_t>(std::min(known.size(), max_tried));
    std::ranges::partial_sort(
        known, last, {}, [spread](const routed_upstream& each) { return hash_combine(spread, each.hash); });
    known.erase(last, known.end());
    return known;
}

} // namespace

std::vector<routed_upstream> all_upstreams(const routing_view& view) {
    std::vector<routed_upstream> all;
    for (const auto& upstreams : view.upstreams | std::views::values) {
        std::ranges::copy(upstreams, std::back_inserter(all));
    }
    return all;
}

task<bool> reach_witness::has_ended(endpoint refused_by, std::vector<routed_upstream> known,
                                    std::chrono::milliseconds timeout) {
    const auto deadline = clock::now() + timeout;
    const auto others = others_of(refused_by, std::move(known));
    auto left_to_try = static_cast<int>(others.size());
    for (const routed_upstream& other : others) {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline - clock::now());
        if (left <= min_connect_timeout) {
            break;
        }
        routed_upstream tried = other;
        const bool is_reached = co_await reaches(std::move(tried), std::max(left / left_to_try--, 1ms));
        if (is_reached) {
            const auto rest = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now());
            const auto error = co_await try_direct_connect(std::move(refused_by), std::max(rest, 1ms));
            co_return error == asio::error::connection_refused;
        }
    }
    co_return false;
}

/// Records whether an upstream is reached.
task<bool> reach_witness::reaches(routed_upstream upstream, std::chrono::milliseconds timeout) {
    endpoint address = upstream.entry.address;
    const auto error = co_await try_direct_connect(std::move(address), timeout);
    if (!error) {
        reach_.record_reached(upstream.hash, clock::now());
        co_return true;
    }
    reach_.record_not_reached(upstream.hash, connect_failure_of(error), clock::now());
    co_return false;
}

} // namespace citronwick
