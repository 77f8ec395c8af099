#include "citronwick/fleet/upstream_limits.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/permit_pool.hpp"
#include "citronwick/policy/room_shortage.hpp"

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
/// The same for the refusals that a brittle upstream bears, and their precision in messages.
constexpr double max_refusals = 10'000.0;
constexpr double refusal_steps = 256.0;
/// Stands in the table and in messages for an upstream that is short of room and not brittle. A
/// router of an earlier landing takes it for one that bears any number of refusals.
constexpr double shortage_mark = max_refusals;
/// Time after which an upstream that nobody hears of is no longer taken for brittle.
constexpr duration brittle_lifetime = 10s;
/// Time for which a brittle upstream's refusal keeps this router to its part of the slots.
constexpr duration refusal_pause = 2s;

std::uint16_t to_age(duration age) {
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age / 1ms, 0, wire::no_age - 1));
}

wire::limit_entry to_wire(std::uint32_t upstream, const rate_limit& limit, double per_second,
                          time_point now) {
    return {upstream, static_cast<float>(per_second), to_age(now - limit.named_at),
            limit.unlimited_at ? to_age(now - *limit.unlimited_at) : wire::no_age};
}

bool is_brittle_entry(const wire::limit_entry& entry) {
    return entry.per_second < 0.0F;
}

rate_limit from_wire(const wire::limit_entry& entry, time_point now) {
    const double per_second = is_brittle_entry(entry) ? -1.0 - entry.per_second : entry.per_second;
    rate_limit limit{per_second, now - std::chrono::milliseconds{entry.named_age}, std::nullopt};
    if (entry.unlimited_age != wire::no_age) {
        limit.unlimited_at = now - std::chrono::milliseconds{entry.unlimited_age};
    }
    return limit;
}

std::vector<wire::limit_entry> to_wire(const rate_limit_table& rates, const rate_limit_table& refusals,
                                       time_point now) {
    std::vector<wire::limit_entry> entries;
    std::ranges::transform(rates.entries(), std::back_inserter(entries), [now](const auto& each) {
        return to_wire(each.first, each.second, each.second.per_second, now);
    });
    std::ranges::transform(refusals.entries(), std::back_inserter(entries), [now](const auto& each) {
        return to_wire(each.first, each.second, -1.0 - each.second.per_second, now);
    });
    return entries;
}

/// The limit as messages carry it, so that the same one is equal whoever tells it.
double in_message_precision(double per_second) {
    return static_cast<float>(std::min(per_second, max_limit));
}

double refusals_in_message_precision(double refusals) {
    return std::round(std::min(refusals, max_refusals) * refusal_steps) / refusal_steps;
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
    const auto named = limit ? std::optional{in_message_precision(*limit)} : std::nullopt;
    const std::scoped_lock lock{mutex_};
    if (record(rates_, name, named, sent_at, now)) {
        log_limit(name, id, "response");
    }
}

void upstream_limits::record_brittle(std::uint64_t upstream, const std::string& id,
                                     std::optional<double> refusals, time_point sent_at, time_point now) {
    if (refusals && !is_usable(*refusals)) {
        log_warn("upstream_brittle_ignored", {{"upstream", id}, {"reason", "not a usable number"}});
        return;
    }
    const std::uint32_t name = short_hash(upstream);
    const auto named = refusals ? std::optional{refusals_in_message_precision(*refusals)} : std::nullopt;
    const std::scoped_lock lock{mutex_};
    if (!named && is_short(name)) {
        return; // ends by itself
    }
    if (record(refusals_, name, named, sent_at, now)) {
        log_brittle(name, id, "response");
    }
}

void upstream_limits::record_shortage(std::uint64_t upstream, const std::string& id, time_point now) {
    const std::uint32_t name = short_hash(upstream);
    const std::scoped_lock lock{mutex_};
    const bool is_known = refusals_of(name, now).has_value();
    if (is_known && !is_short(name)) {
        return;
    }
    record(refusals_, name, shortage_mark, now, now);
    if (!is_known) {
        log_info("upstream_short_of_room", {{"upstream", id}, {"upstream_hash", std::to_string(name)}});
    }
}

/// Whether the last thing known of an upstream is that it is short of room.
bool upstream_limits::is_short(std::uint32_t upstream) const {
    const auto found = refusals_.known.entries().find(upstream);
    return found != refusals_.known.entries().end() && found->second.per_second >= shortage_mark;
}

/// Records what a response names of one kind.
/// @return whether that changes what is known
bool upstream_limits::record(tables& kind, std::uint32_t upstream, std::optional<double> named,
                             time_point sent_at, time_point now) {
    const auto record_in = [&](rate_limit_table& table) {
        if (named) {
            return table.record_limit(upstream, *named, now);
        }
        const auto found = kind.known.entries().find(upstream);
        // An end is also recorded where only other routers have seen the limit.
        return found != kind.known.entries().end() &&
               table.merge(upstream, {found->second.per_second, found->second.named_at, sent_at});
    };
    const bool own_changed = record_in(kind.own);
    record_in(kind.domain);
    const bool changed = record_in(kind.known);
    note_brittle();
    report_is_urgent_ = report_is_urgent_ || own_changed || changed;
    changes_ += changed ? 1 : 0;
    return changed;
}

void upstream_limits::note_brittle() {
    has_brittle_.store(!refusals_.known.entries().empty(), std::memory_order_relaxed);
}

void upstream_limits::record_refusal(std::uint64_t upstream, const std::string& id, time_point now) {
    const std::scoped_lock lock{mutex_};
    time_point& refused_at = refused_at_[upstream];
    if (now - refused_at >= refusal_pause) {
        log_info("brittle_upstream_refused",
                 {{"upstream", id}, {"pause_ms", std::to_string(refusal_pause / 1ms)}});
    }
    refused_at = now;
}

void upstream_limits::log_limit(std::uint32_t upstream, const std::string& id, const char* source) const {
    const auto limit = rates_.known.limit_of(upstream);
    log_info(limit ? "upstream_limit_known" : "upstream_limit_ended",
             {{"upstream", id},
              {"upstream_hash", std::to_string(upstream)},
              {"per_second", limit ? std::to_string(*limit) : "-"},
              {"source", source}});
}

void upstream_limits::log_brittle(std::uint32_t upstream, const std::string& id, const char* source) const {
    const auto refusals = refusals_.known.limit_of(upstream);
    log_info(refusals ? "upstream_brittle" : "upstream_brittle_ended",
             {{"upstream", id},
              {"upstream_hash", std::to_string(upstream)},
              {"refusals_per_second", refusals ? std::to_string(*refusals) : "-"},
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
    return rates_.known.limit_of(short_hash(upstream));
}

/// Refusals a second that a brittle upstream bears; empty if it is not brittle, or nobody has heard
/// of it lately.
std::optional<double> upstream_limits::refusals_of(std::uint32_t upstream, time_point now) const {
    const auto found = refusals_.known.entries().find(upstream);
    const duration lifetime = is_short(upstream) ? shortage_lifetime : brittle_lifetime;
    const bool is_brittle = found != refusals_.known.entries().end() && found->second.holds() &&
                            now - found->second.named_at < lifetime;
    return is_brittle ? std::optional{found->second.per_second} : std::nullopt;
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
    std::optional<double> least_refusals;
    if (!refusals_.known.entries().empty()) {
        for (const std::uint64_t upstream : upstreams) {
            if (const auto refusals = refusals_of(short_hash(upstream), now)) {
                least_refusals = std::min(least_refusals.value_or(*refusals), *refusals);
            }
        }
    }
    std::vector<summary> found;
    std::ranges::transform(upstreams, std::back_inserter(found), [&](std::uint64_t upstream) {
        const std::uint32_t name = short_hash(upstream);
        const auto pause = paused_until_.find(upstream);
        const auto terms = permit_terms_.find(name);
        summary known{.per_second = rates_.known.limit_of(name),
                      .is_paused = pause != paused_until_.end() && now < pause->second};
        if (known.per_second && terms != permit_terms_.end()) {
            known.may_request_permit = now >= terms->second.rejected_until;
            known.permit_price_ms = terms->second.price_at(now);
        }
        if (least_refusals) {
            known.refusals_per_second =
                refusals_.known.entries().contains(name) ? refusals_of(name, now) : least_refusals;
            known.is_short = known.refusals_per_second && *known.refusals_per_second >= shortage_mark;
            const auto refusal = refused_at_.find(upstream);
            known.has_refused_lately = refusal != refused_at_.end() && now - refusal->second < refusal_pause;
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
        const bool is_brittle = is_brittle_entry(entry);
        tables& kind = is_brittle ? refusals_ : rates_;
        if (from_own_domain) {
            kind.domain.merge(entry.upstream, limit);
        }
        if (kind.known.merge(entry.upstream, limit)) {
            ++changes_;
            is_brittle ? log_brittle(entry.upstream, "-", "router")
                       : log_limit(entry.upstream, "-", "router");
        }
    }
    note_brittle();
}

std::vector<wire::limit_entry> upstream_limits::take_report(time_point now) {
    const std::scoped_lock lock{mutex_};
    const duration interval = report_is_urgent_ ? urgent_report_interval : report_interval;
    if (now - reported_at_ < interval) {
        return {};
    }
    reported_at_ = now;
    report_is_urgent_ = false;
    auto entries = to_wire(rates_.own, refusals_.own, now);
    std::erase_if(entries, [](const wire::limit_entry& entry) {
        return std::chrono::milliseconds{std::min(entry.named_age, entry.unlimited_age)} > report_age;
    });
    return entries;
}

std::vector<wire::limit_entry> upstream_limits::all(time_point now) const {
    const std::scoped_lock lock{mutex_};
    return to_wire(rates_.known, refusals_.known, now);
}

std::vector<wire::limit_entry> upstream_limits::of_domain(time_point now) const {
    const std::scoped_lock lock{mutex_};
    return to_wire(rates_.domain, refusals_.domain, now);
}

std::uint64_t upstream_limits::change_count() const {
    const std::scoped_lock lock{mutex_};
    return changes_;
}

std::map<std::uint32_t, double> upstream_limits::in_force() const {
    const std::scoped_lock lock{mutex_};
    std::map<std::uint32_t, double> found;
    for (const auto& [upstream, limit] : rates_.known.entries()) {
        if (limit.holds()) {
            found[upstream] = limit.per_second;
        }
    }
    return found;
}

void upstream_limits::tables::expire(const std::set<std::uint32_t>& upstreams, time_point now) {
    known.expire(upstreams, now);
    own.expire(upstreams, now);
    domain.expire(upstreams, now);
}

void upstream_limits::expire(const std::set<std::uint64_t>& upstreams, time_point now) {
    std::set<std::uint32_t> names;
    std::ranges::transform(upstreams, std::inserter(names, names.end()), short_hash);
    const std::scoped_lock lock{mutex_};
    rates_.expire(names, now);
    refusals_.expire(names, now);
    for (rate_limit_table* table : {&refusals_.known, &refusals_.own, &refusals_.domain}) {
        table->remove_named_before(now - brittle_lifetime);
    }
    note_brittle();
    std::erase_if(refused_at_, [now](const auto& each) { return now - each.second >= refusal_pause; });
    std::erase_if(paused_until_, [now](const auto& each) { return now >= each.second; });
    std::erase_if(permit_terms_, [now](const auto& each) {
        return now >= each.second.rejected_until && now >= each.second.full_at;
    });
}

} // namespace citronwick
