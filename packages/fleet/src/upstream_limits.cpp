#include "citronwick/fleet/upstream_limits.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/permit_pool.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Interval at which observations are reported again, for routers that missed them.
constexpr duration report_interval = 1s;
/// Shortest interval between two reports, if limits change with each response.
constexpr duration urgent_report_interval = 100ms;
/// Age up to which an observation is reported again.
constexpr duration report_age = 2s;
/// Limits above this are never reached and are stored as this.
constexpr double max_limit = 1'000'000.0;

std::uint16_t to_age(duration age) {
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age / 1ms, 0, wire::no_age - 1));
}

wire::limit_entry to_wire(std::uint32_t upstream, const rate_limit& limit, time_point now) {
    return {upstream, static_cast<float>(limit.per_second), to_age(now - limit.named_at),
            limit.unlimited_at ? to_age(now - *limit.unlimited_at) : wire::no_age};
}

rate_limit from_wire(const wire::limit_entry& entry, time_point now) {
    const double per_second = entry.per_second;
    rate_limit limit{per_second, now - std::chrono::milliseconds{entry.named_age}, std::nullopt};
    if (entry.unlimited_age != wire::no_age) {
        limit.unlimited_at = now - std::chrono::milliseconds{entry.unlimited_age};
    }
    return limit;
}

std::vector<wire::limit_entry> to_wire(const rate_limit_table& table, time_point now) {
    std::vector<wire::limit_entry> entries;
    std::ranges::transform(table.entries(), std::back_inserter(entries),
                           [now](const auto& each) { return to_wire(each.first, each.second, now); });
    return entries;
}

/// The limit as messages carry it, so that the same one is equal whoever tells it.
double in_message_precision(double per_second) {
    return static_cast<float>(std::min(per_second, max_limit));
}

bool is_usable(double per_second) {
    return std::isfinite(per_second) && per_second >= 0.0;
}

} // namespace

void upstream_limits::record_response(std::uint64_t upstream, const std::string& id,
                                      std::optional<double> limit, time_point sent_at, time_point now) {
    if (limit && !is_usable(*limit)) {
        log_warn("upstream_limit_ignored", {{"upstream", id}, {"reason", "not a usable number"}});
        return;
    }
    const std::uint32_t name = short_hash(upstream);
    const std::scoped_lock lock{mutex_};
    const auto record = [&](rate_limit_table& table) {
        if (limit) {
            return table.record_limit(name, in_message_precision(*limit), now);
        }
        const auto known = known_.entries().find(name);
        // An end is also recorded where only other routers have seen the limit.
        return known != known_.entries().end() &&
               table.merge(name, {known->second.per_second, known->second.named_at, sent_at});
    };
    const bool own_changed = record(own_);
    record(domain_);
    const bool changed = record(known_);
    report_is_urgent_ = report_is_urgent_ || own_changed || changed;
    if (changed) {
        ++changes_;
        log_change(name, id, "response");
    }
}

void upstream_limits::log_change(std::uint32_t upstream, const std::string& id, const char* source) const {
    const auto limit = known_.limit_of(upstream);
    log_info(limit ? "upstream_limit_known" : "upstream_limit_ended",
             {{"upstream", id},
              {"upstream_hash", std::to_string(upstream)},
              {"per_second", limit ? std::to_string(*limit) : "-"},
              {"source", source}});
}

void upstream_limits::record_pause(std::uint64_t upstream, const std::string& id, duration pause,
                                   time_point now) {
    const std::scoped_lock lock{mutex_};
    time_point& until = paused_until_[upstream];
    if (now + pause > until) {
        until = now + pause;
        log_info("upstream_pauses", {{"upstream", id}, {"pause_ms", std::to_string(pause / 1ms)}});
    }
}

std::optional<time_point> upstream_limits::paused_until(std::uint64_t upstream, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto found = paused_until_.find(upstream);
    return found != paused_until_.end() && now < found->second ? std::optional{found->second} : std::nullopt;
}

std::optional<double> upstream_limits::limit_of(std::uint64_t upstream) const {
    const std::scoped_lock lock{mutex_};
    return known_.limit_of(short_hash(upstream));
}

void upstream_limits::record_decision(std::uint64_t upstream, const permit_decision& decision,
                                      time_point now) {
    const std::scoped_lock lock{mutex_};
    permit_terms_[short_hash(upstream)] = {now + decision.wait, decision.price_ms, now + decision.full_in};
}

double upstream_limits::permit_terms::price_at(time_point now) const {
    if (now >= full_at) {
        return 0.0;
    }
    const std::chrono::duration<double> left = full_at - now;
    const std::chrono::duration<double> whole = full_at - rejected_until;
    return whole > left ? price_ms * std::sqrt(left / whole) : price_ms;
}

std::vector<upstream_limits::summary> upstream_limits::summaries(const std::vector<std::uint64_t>& upstreams,
                                                                 time_point now) const {
    const std::scoped_lock lock{mutex_};
    std::vector<summary> found;
    std::ranges::transform(upstreams, std::back_inserter(found), [&](std::uint64_t upstream) {
        const std::uint32_t name = short_hash(upstream);
        const auto pause = paused_until_.find(upstream);
        const auto terms = permit_terms_.find(name);
        summary known{.per_second = known_.limit_of(name),
                      .is_paused = pause != paused_until_.end() && now < pause->second};
        if (known.per_second && terms != permit_terms_.end()) {
            known.may_request_permit = now >= terms->second.rejected_until;
            known.permit_price_ms = terms->second.price_at(now);
        }
        return known;
    });
    return found;
}

void upstream_limits::merge(const std::vector<wire::limit_entry>& entries, bool from_own_domain,
                            time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::limit_entry& entry : entries) {
        const rate_limit limit = from_wire(entry, now);
        if (!is_usable(limit.per_second)) {
            continue;
        }
        if (from_own_domain) {
            domain_.merge(entry.upstream, limit);
        }
        if (known_.merge(entry.upstream, limit)) {
            ++changes_;
            log_change(entry.upstream, "-", "router");
        }
    }
}

std::vector<wire::limit_entry> upstream_limits::take_report(time_point now) {
    const std::scoped_lock lock{mutex_};
    const duration interval = report_is_urgent_ ? urgent_report_interval : report_interval;
    if (now - reported_at_ < interval) {
        return {};
    }
    reported_at_ = now;
    report_is_urgent_ = false;
    auto entries = to_wire(own_, now);
    std::erase_if(entries, [](const wire::limit_entry& entry) {
        return std::chrono::milliseconds{std::min(entry.named_age, entry.unlimited_age)} > report_age;
    });
    return entries;
}

std::vector<wire::limit_entry> upstream_limits::all(time_point now) const {
    const std::scoped_lock lock{mutex_};
    return to_wire(known_, now);
}

std::vector<wire::limit_entry> upstream_limits::of_domain(time_point now) const {
    const std::scoped_lock lock{mutex_};
    return to_wire(domain_, now);
}

std::uint64_t upstream_limits::change_count() const {
    const std::scoped_lock lock{mutex_};
    return changes_;
}

std::map<std::uint32_t, double> upstream_limits::in_force() const {
    const std::scoped_lock lock{mutex_};
    std::map<std::uint32_t, double> found;
    for (const auto& [upstream, limit] : known_.entries()) {
        if (limit.holds()) {
            found[upstream] = limit.per_second;
        }
    }
    return found;
}

void upstream_limits::expire(const std::set<std::uint64_t>& upstreams, time_point now) {
    std::set<std::uint32_t> names;
    std::ranges::transform(upstreams, std::inserter(names, names.end()), short_hash);
    const std::scoped_lock lock{mutex_};
    known_.expire(names, now);
    own_.expire(names, now);
    domain_.expire(names, now);
    std::erase_if(paused_until_, [now](const auto& each) { return now >= each.second; });
    std::erase_if(permit_terms_, [now](const auto& each) {
        return now >= each.second.rejected_until && now >= each.second.full_at;
    });
}

} // namespace citronwick
