#include "declared_fleet.hpp"

#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/core/printable_text.hpp"
#include "citronwick/io/log.hpp"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after a broken connection in which the end of the incarnation counts as
/// a crash.
constexpr duration crash_window = 6s;

using upstreams_by_service = std::map<std::string, std::vector<routed_upstream>, std::less<>>;

/// Removes the upstreams of evacuated failure domains.
upstreams_by_service without_evacuated(upstreams_by_service upstreams, const std::set<std::string>& domains) {
    if (!domains.empty()) {
        std::ranges::for_each(upstreams | std::views::values, [&](std::vector<routed_upstream>& each) {
            std::erase_if(each, [&](const routed_upstream& upstream) {
                return domains.contains(upstream.entry.failure_domain);
            });
        });
        std::erase_if(upstreams, [](const auto& each) { return each.second.empty(); });
    }
    return upstreams;
}

} // namespace

declared_fleet::declared_fleet(const platform_adapter& adapter, suspect_registry& suspects)
    : adapter_{adapter}, suspects_{suspects}, layout_{adapter.layout()}, crash_detector_{crash_window} {}

bool declared_fleet::apply(const kv_change& change, std::optional<time_point> usable_until, time_point now) {
    if (change.key == layout_.configuration_key) {
        apply_configuration(change);
        return true;
    }
    if (change.key.starts_with(layout_.upstream_prefix)) {
        apply_upstream(change, usable_until, now);
        return true;
    }
    if (change.key.starts_with(layout_.evacuation_prefix)) {
        apply_evacuation(change);
        return true;
    }
    return false;
}

void declared_fleet::retain_listed(const kv_listing& listing, std::optional<time_point> usable_until,
                                   time_point now) {
    std::set<std::string> listed;
    for (const kv_item& item : listing.items) {
        if (item.key.starts_with(layout_.upstream_prefix)) {
            listed.insert(item.key.substr(layout_.upstream_prefix.size()));
        }
    }
    std::erase_if(refused_, [&](const auto& each) { return !listed.contains(each.first); });
    for (const ended_upstream& ended : directory_.retain(listed, listing.position, usable_until)) {
        handle_end(ended, now);
    }
    retain_evacuations(listing);
}

bool declared_fleet::expire(time_point now) {
    const auto ended = directory_.expire(now);
    for (const ended_upstream& each : ended) {
        handle_end(each, now);
    }
    return !ended.empty();
}

void declared_fleet::record_broken_connection(const std::vector<crash_suspect>& suspects,
                                              std::uint64_t upstream, time_point now) {
    crash_detector_.record_broken_connection(suspects, upstream, now);
}

void declared_fleet::record_refusing_upstream(std::uint64_t upstream, time_point now) {
    const upstream_entry* const entry = directory_.entry_of(upstream);
    if (entry != nullptr && !entry->leaving) {
        log_info("upstream_refuses", {{"upstream", entry->id}, {"service", entry->service}});
        record_crash(*entry, now);
    }
}

bool declared_fleet::record_leaving(std::uint64_t upstream) {
    const upstream_entry* const entry = directory_.entry_of(upstream);
    if (!directory_.mark_leaving(upstream)) {
        return false;
    }
    log_info("upstream_says_leaving", {{"upstream", entry == nullptr ? "-" : entry->id},
                                       {"upstream_hash", std::to_string(short_hash(upstream))}});
    return true;
}

std::map<std::string, std::vector<routed_upstream>, std::less<>> declared_fleet::usable() const {
    return without_evacuated(directory_.usable(), evacuated_);
}

std::map<std::string, std::size_t, std::less<>> declared_fleet::evacuated_upstreams() const {
    std::map<std::string, std::size_t, std::less<>> counts;
    if (!evacuated_.empty()) {
        for (const auto& [service, upstreams] : directory_.usable()) {
            counts[service] = static_cast<std::size_t>(
                std::ranges::count_if(upstreams, [this](const routed_upstream& each) {
                    return evacuated_.contains(each.entry.failure_domain);
                }));
        }
    }
    return counts;
}

std::map<std::string, std::vector<routed_upstream>, std::less<>> declared_fleet::leaving() const {
    return without_evacuated(directory_.leaving(), evacuated_);
}

/// Applies a new configuration. One that cannot be decoded is refused, and the
/// previous one stays in force.
void declared_fleet::apply_configuration(const kv_change& change) {
    if (!change.value || (config_ && change.position <= config_->position())) {
        return;
    }
    auto declared = adapter_.decode_configuration(*change.value);
    if (declared.has_error()) {
        log_failure("configuration_refused", declared.error());
        return;
    }
    if (config_ && declared->version < config_->version()) {
        log_warn("configuration_refused", {{"reason", "older version"},
                                           {"version", std::to_string(declared->version)},
                                           {"position", to_text(change.position)},
                                           {"in_force", std::to_string(config_->version())}});
        return;
    }
    config_ = std::make_shared<const routing_configuration>(std::move(*declared), change.position);
    log_info("configuration_in_force", {{"version", std::to_string(config_->version())},
                                        {"position", to_text(change.position)},
                                        {"routes", std::to_string(config_->routes().routes().size())},
                                        {"teams", std::to_string(config_->team_count())}});
}

void declared_fleet::apply_evacuation(const kv_change& change) {
    const std::string domain = change.key.substr(layout_.evacuation_prefix.size());
    const bool is_changed = change.value ? evacuated_.insert(domain).second : evacuated_.erase(domain) > 0;
    if (is_changed) {
        log_info(change.value ? "evacuation_in_force" : "evacuation_ended",
                 {{"failure_domain", printable(domain)}, {"position", to_text(change.position)}});
    }
}

/// Ends the evacuations that a complete listing lacks.
void declared_fleet::retain_evacuations(const kv_listing& listing) {
    std::erase_if(evacuated_, [&](const std::string& domain) {
        const bool is_listed = std::ranges::find(listing.items, layout_.evacuation_prefix + domain,
                                                 &kv_item::key) != listing.items.end();
        if (!is_listed) {
            log_info("evacuation_ended",
                     {{"failure_domain", printable(domain)}, {"position", to_text(listing.position)}});
        }
        return !is_listed;
    });
}

void declared_fleet::apply_upstream(const kv_change& change, std::optional<time_point> usable_until,
                                    time_point now) {
    const std::string id = change.key.substr(layout_.upstream_prefix.size());
    if (!change.value) {
        refused_.erase(id);
        const auto ended = directory_.remove(id, change.position, usable_until, "entry removed");
        log_info("upstream_entry_removed", {{"upstream", printable(id)},
                                            {"position", to_text(change.position)},
                                            {"may_have_lapsed", usable_until ? "yes" : "no"}});
        handle_end(ended, now);
        return;
    }
    const auto entry = adapter_.decode_upstream(id, *change.value);
    if (entry.has_error()) {
        refuse_upstream(id, change, entry.error(), now);
        return;
    }
    refused_.erase(id);
    handle_end(directory_.put(*entry, change.position, now), now);
    log_info("upstream_learnt", {{"upstream", entry->id},
                                 {"service", entry->service},
                                 {"address", to_text(entry->address)},
                                 {"failure_domain", entry->failure_domain},
                                 {"incarnation", std::to_string(entry->incarnation)},
                                 {"leaving", entry->leaving ? "yes" : "no"},
                                 {"cold_ms", std::to_string(entry->cold_time.count())},
                                 {"position", to_text(change.position)}});
}

void declared_fleet::refuse_upstream(const std::string& id, const kv_change& change, const failure& error,
                                     time_point now) {
    const std::uint64_t text = hash64(*change.value);
    const auto [known, is_new] = refused_.try_emplace(id, text);
    if (is_new || std::exchange(known->second, text) != text) {
        log_failure("upstream_entry_refused", error);
    }
    handle_end(directory_.remove(id, change.position, std::nullopt, "entry unreadable"), now);
}

void declared_fleet::handle_end(const std::optional<ended_upstream>& ended, time_point now) {
    if (ended) {
        handle_end(*ended, now);
    }
}

/// Logs the end of an incarnation. An unannounced one counts as a crash.
void declared_fleet::handle_end(const ended_upstream& ended, time_point now) {
    log_info("upstream_ended", {{"upstream", ended.entry.id},
                                {"service", ended.entry.service},
                                {"reason", std::string{ended.reason}},
                                {"announced", ended.entry.leaving ? "yes" : "no"}});
    if (!ended.entry.leaving) {
        record_crash(ended.entry, now);
    }
}

/// What was on the upstream's broken connections becomes suspect.
void declared_fleet::record_crash(const upstream_entry& crashed, time_point now) {
    const auto upstream = upstream_hash(crashed);
    for (const crash_suspect& suspect : crash_detector_.upstream_ended(upstream, now)) {
        const auto crashes = suspects_.record_crash(suspect.fingerprint, short_hash(upstream), now);
        const bool is_part = suspect.type == crash_suspect::kind::prompt_part;
        log_warn(is_part ? "prompt_part_suspected" : "request_suspected",
                 {{"fingerprint", std::to_string(suspect.fingerprint)},
                  {"upstream", crashed.id},
                  {"crashes", std::to_string(crashes)}});
    }
}

} // namespace citronwick
