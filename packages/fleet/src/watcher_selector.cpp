#include "citronwick/fleet/watcher_selector.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Age from which a confirmation no longer counts as a fresh answer.
constexpr duration stale_age = 2500ms;
/// Consecutive queries without a fresh answer after which the watcher is
/// excluded. One that has just taken over may give a stale answer or two.
constexpr int max_unanswered = 5;

std::uint64_t highest_ranked(const std::vector<std::uint64_t>& routers) {
    return *std::ranges::max_element(
        routers, {}, [](std::uint64_t router) { return rendezvous_score(watcher_selector::role(), router); });
}

} // namespace

std::uint64_t watcher_selector::role() {
    static const std::uint64_t name = hash64("store watcher");
    return name;
}

std::uint64_t watcher_selector::select(const std::vector<std::uint64_t>& others, bool store_reachable) const {
    auto eligible = others;
    std::erase_if(eligible, [this](std::uint64_t router) { return excluded_.contains(router); });
    if (eligible.empty() && !store_reachable) {
        eligible = others;
        eligible.push_back(self_);
    } else if (store_reachable) {
        eligible.push_back(self_);
    }
    return highest_ranked(eligible);
}

bool watcher_selector::record_query(std::uint64_t watcher) {
    if (std::exchange(queried_, watcher) != watcher) {
        unanswered_ = 0;
    }
    if (++unanswered_ <= max_unanswered) {
        return true;
    }
    unanswered_ = 0;
    exclude(watcher, "no fresh answers");
    return false;
}

void watcher_selector::record_report(std::uint64_t sender, const watcher_report& report) {
    if (sender == queried_ && report.answer_age && *report.answer_age < stale_age) {
        unanswered_ = 0;
    }
    if (!report.store_reachable) {
        return;
    }
    if (!*report.store_reachable) {
        exclude(sender, "store unreachable");
    } else if (excluded_.erase(sender) > 0) {
        log_info("watcher_heard_again", {{"router_hash", std::to_string(sender)}});
    }
}

void watcher_selector::exclude(std::uint64_t router, std::string_view reason) {
    if (excluded_.insert(router).second) {
        log_info("watcher_passed_over",
                 {{"router_hash", std::to_string(router)}, {"reason", std::string{reason}}});
    }
}

} // namespace citronwick
