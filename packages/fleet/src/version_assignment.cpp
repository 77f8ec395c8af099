#include "citronwick/fleet/version_assignment.hpp"

#include "citronwick/core/printable_text.hpp"
#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ranges>
#include <utility>

namespace citronwick {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

/// Shortest time between two writes for one service.
constexpr duration write_interval = 300ms;

std::string describe(const version_slots& slots) {
    std::map<std::string, int> counts;
    for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
        ++counts[slots.at(index).version];
    }
    std::string text;
    for (const auto& [version, count] : counts) {
        text += (text.empty() ? "" : " ") + version + "=" + std::to_string(count);
    }
    return text;
}

} // namespace

version_assignment::version_assignment(asio::any_io_executor executor, kv_client& store, std::string prefix,
                                       std::function<void()> on_change)
    : executor_{std::move(executor)}, store_{store}, prefix_{std::move(prefix)},
      on_change_{std::move(on_change)} {}

/// Reads one array for each slot: the name of its version, and those of earlier ones.
std::optional<version_assignment::stored_slots> version_assignment::parse(const std::string& text) {
    const auto document = parse_json_object(text);
    const auto* const rows = document ? array_member(*document, "slots") : nullptr;
    if (rows == nullptr || rows->size() != version_slots::slot_count) {
        return std::nullopt;
    }
    const std::int64_t number = integer_member(*document, "number");
    const std::int64_t era = integer_member(*document, "era"); // 0 from earlier landings, which name none
    if (number < 0 || era < 0) {
        return std::nullopt;
    }
    stored_slots parsed{version_slots{}, static_cast<std::uint64_t>(number), static_cast<std::uint64_t>(era)};
    for (std::size_t index = 0; index < rows->size(); ++index) {
        const json::array* const row = rows->at(index).if_array();
        const bool is_valid = row != nullptr && !row->empty() &&
                              std::ranges::all_of(*row, [](const auto& each) { return each.is_string(); });
        if (!is_valid) {
            return std::nullopt;
        }
        version_slots::slot& slot = parsed.slots.at(index);
        slot.version = row->at(0).as_string();
        std::ranges::for_each(*row | std::views::drop(1),
                              [&](const auto& each) { slot.earlier.emplace(each.as_string()); });
    }
    return parsed;
}

std::string version_assignment::to_text(const stored_slots& stored) {
    json::array rows;
    for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
        const version_slots::slot& slot = stored.slots.at(index);
        json::array row{slot.version};
        std::ranges::for_each(slot.earlier, [&row](const std::string& each) { row.emplace_back(each); });
        rows.push_back(std::move(row));
    }
    return json::serialize(
        json::object{{"number", stored.number}, {"era", stored.era}, {"slots", std::move(rows)}});
}

void version_assignment::begin_listing(std::uint64_t era, time_point now) {
    if (era != era_ || !is_listed_) {
        era_ = era;
        era_seen_at_ = now;
    }
    for (tracked& each : services_ | std::views::values) {
        each.revision = 0;
        each.is_stored = false;
    }
}

void version_assignment::end_listing() {
    is_listed_ = true;
}

bool version_assignment::apply(const kv_change& change, time_point now) {
    if (!change.key.starts_with(prefix_)) {
        return false;
    }
    const std::string service = change.key.substr(prefix_.size());
    tracked& known = services_[service];
    known.revision = change.value ? change.position.revision : 0;
    auto parsed = change.value ? parse(*change.value) : std::nullopt;
    // A store that came back from a copy holds an earlier state, or one that a router
    // wrote that did not know the newest.
    const bool is_older =
        !parsed || (known.slots && (parsed->number < known.number ||
                                    (parsed->number == known.number && !(parsed->slots == *known.slots))));
    known.is_stored = !is_older;
    if (is_older) {
        log_warn("stream_versions_ignored",
                 {{"service", printable(service)},
                  {"reason", parsed ? "not newer than known" : "missing or unreadable"},
                  {"position", citronwick::to_text(change.position)}});
        return true;
    }
    if (!known.slots || parsed->number > known.number) {
        adopt(service, std::move(*parsed), now);
    }
    return true;
}

void version_assignment::adopt(const std::string& service, stored_slots stored, time_point now) {
    tracked& known = services_[service];
    for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
        if (!known.slots || !(known.slots->at(index) == stored.slots.at(index))) {
            known.changed_at.at(index) = now;
        }
    }
    known.number = stored.number;
    known.era = stored.era;
    published_[service] = std::make_shared<const version_slots>(stored.slots);
    log_info("stream_versions_assigned", {{"service", service},
                                          {"number", std::to_string(stored.number)},
                                          {"era", std::to_string(stored.era)},
                                          {"slots", describe(stored.slots)},
                                          {"unsettled", std::to_string(stored.slots.unsettled().count())}});
    known.slots = std::move(stored.slots);
}

/// The slots as they should be, none if they are.
std::optional<version_slots>
version_assignment::next_slots(const tracked& known, const versioned_service& service, time_point now) const {
    std::optional<version_slots> next = known.slots;
    bool has_changed = false;
    if (next) {
        version_slots::slot_set settled = next->unsettled();
        for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
            settled.set(index,
                        settled.test(index) && now - known.changed_at.at(index) >= service.settle_time);
        }
        next->settle(settled);
        has_changed = settled.any();
    }
    if (auto divided = divide_slots(next, service.capacities)) {
        return divided;
    }
    const bool gains_proof = known.slots && proven_era(known, service.settle_time, now) > known.era;
    return has_changed || !known.is_stored || gains_proof ? next : std::nullopt;
}

void version_assignment::tick(const std::map<std::string, versioned_service>& services, duration write_delay,
                              time_point now) {
    if (!is_listed_) {
        return;
    }
    for (const auto& [name, service] : services) {
        tracked& known = services_[name];
        auto next = next_slots(known, service, now);
        if (!next) {
            known.due_since.reset();
            continue;
        }
        if (!known.due_since) {
            known.due_since = now;
        }
        const bool is_due = now - *known.due_since >= write_delay && now - known.written_at >= write_interval;
        if (is_due && !known.is_writing) {
            known.is_writing = true;
            known.written_at = now;
            stored_slots changed{std::move(*next), known.number + 1,
                                 proven_era(known, service.settle_time, now)};
            spawn_logged(executor_, "stream_versions", write(name, std::move(changed)),
                         [this, name] { services_[name].is_writing = false; });
        }
    }
}

/// The newest era in which the slots of a service are known to lack no change.
std::uint64_t version_assignment::proven_era(const tracked& known, duration settle_time,
                                             time_point now) const {
    // A service without slots has no streams that began by other ones.
    const bool is_proven = !known.slots || now - era_seen_at_ >= settle_time;
    return is_proven ? era_ : known.era;
}

std::map<std::string, time_point, std::less<>> version_assignment::unproven() const {
    std::map<std::string, time_point, std::less<>> found;
    for (const auto& [service, known] : services_) {
        if (known.slots && known.era < era_) {
            found.emplace(service, era_seen_at_ + begun_streams::lifetime);
        }
    }
    return found;
}

task<void> version_assignment::write(std::string service, stored_slots stored) {
    const std::string key = prefix_ + service;
    const std::string text = to_text(stored);
    auto written = co_await store_.compare_and_swap(key, services_[service].revision, text, 0);
    const auto now = clock::now();
    services_[service].is_writing = false;
    if (written.has_error()) {
        log_failure("stream_versions_not_written", written.error());
    } else if (written->succeeded) {
        apply({key, text, {written->revision, written->era}}, now);
    } else if (written->current) {
        apply({key, written->current->value, {written->current->mod_revision, written->era}}, now);
    } else {
        services_[service].revision = 0;
    }
    on_change_();
}

} // namespace citronwick
