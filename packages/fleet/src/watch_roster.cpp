#include "citronwick/fleet/watch_roster.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Age from which a watcher's confirmation is no answer.
constexpr duration stale_age = 2500ms;
/// Questions in a row without a fresh answer after which another router
/// watches. One that has just taken over may give a stale answer or two.
constexpr int most_unanswered = 5;

std::uint64_t first_of(const std::vector<std::uint64_t>& routers) {
    return *std::ranges::max_element(
        routers, {}, [](std::uint64_t router) { return rendezvous_score(watch_roster::duty(), router); });
}

} // namespace

std::uint64_t watch_roster::duty() {
    static const std::uint64_t name = hash64("store watcher");
    return name;
}

std::uint64_t watch_roster::watcher(const std::vector<std::uint64_t>& others, bool has_store) const {
    auto able = others;
    std::erase_if(able, [this](std::uint64_t router) { return passed_over_.contains(router); });
    if (able.empty() && !has_store) {
        able = others;
        able.push_back(self_);
    } else if (has_store) {
        able.push_back(self_);
    }
    return first_of(able);
}

bool watch_roster::note_question(std::uint64_t watcher) {
    if (std::exchange(asked_, watcher) != watcher) {
        unanswered_ = 0;
    }
    if (++unanswered_ <= most_unanswered) {
        return true;
    }
    unanswered_ = 0;
    pass_over(watcher, "no fresh answers");
    return false;
}

void watch_roster::hear(std::uint64_t sender, const watch_report& report) {
    if (sender == asked_ && report.answer_age && *report.answer_age < stale_age) {
        unanswered_ = 0;
    }
    if (!report.has_store) {
        return;
    }
    if (!*report.has_store) {
        pass_over(sender, "without the store");
    } else if (passed_over_.erase(sender) > 0) {
        log_info("watcher_heard_again", {{"router_hash", std::to_string(sender)}});
    }
}

void watch_roster::pass_over(std::uint64_t router, std::string_view reason) {
    if (passed_over_.insert(router).second) {
        log_info("watcher_passed_over",
                 {{"router_hash", std::to_string(router)}, {"reason", std::string{reason}}});
    }
}

} // namespace citronwick
