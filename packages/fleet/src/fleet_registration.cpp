#include "fleet_registration.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/core/printable_text.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/retry_delay.hpp"

#include <boost/json/serialize.hpp>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view router_prefix = "routers/";
constexpr std::string_view fleet_key_name = "fleet-key";
constexpr std::chrono::seconds lease_time = 60s;
constexpr std::chrono::milliseconds renew_interval = 20s;
constexpr std::chrono::milliseconds listing_poll_interval = 20ms;
constexpr std::chrono::milliseconds retry_interval = 300ms;
/// Pauses between failed renewals. The lease outlasts several of the longest.
constexpr retry_delays renewal_delays{300ms, 5s};

} // namespace

fleet_registration::fleet_registration(const asio::any_io_executor& executor, watched_kv_client& store,
                                       std::string prefix, wire::member_record self,
                                       registration_listener listener)
    : store_{store}, prefix_{std::move(prefix)}, self_{std::move(self)}, start_id_{random_id()},
      listener_{std::move(listener)}, timer_{executor} {}

std::string fleet_registration::entry_text() const {
    return boost::json::serialize(boost::json::object{{"vm", self_.vm},
                                                      {"region", self_.region},
                                                      {"failure_domain", self_.failure_domain},
                                                      {"fleet_address", self_.fleet_address},
                                                      {"start", start_id_}});
}

void fleet_registration::begin_listing(store_position position) {
    revisions_.clear();
    has_fleet_key_ = false;
    if (position.era > era_) {
        // The lease may not exist in the copy, and the entry gets another position.
        entry_is_own_ = false;
        must_check_ = true;
    }
    era_ = position.era;
}

void fleet_registration::end_listing() {
    entry_is_own_ = entry_is_own_ && revisions_.contains(router_key());
    must_check_ = must_check_ || !entry_is_own_ || !has_fleet_key_;
    is_listed_ = true;
    if (must_check_) {
        timer_.cancel();
    }
}

void fleet_registration::apply(const kv_change& change) {
    if (!change.key.starts_with(prefix_)) {
        return;
    }
    const std::string key = change.key.substr(prefix_.size());
    revisions_[key] = change.value ? change.position.revision : 0;
    if (key == fleet_key_name && change.value) {
        has_fleet_key_ = true;
        fleet_key_ = *change.value;
        listener_.on_fleet_key(*change.value);
    } else if (key.starts_with(router_prefix)) {
        apply_router_entry(key, change);
    }
}

void fleet_registration::apply_router_entry(const std::string& key, const kv_change& change) {
    const std::string vm = key.substr(router_prefix.size());
    const bool is_self = vm == self_.vm;
    auto entry = change.value ? parse_json_object(*change.value) : std::nullopt;
    if (entry && (vm.empty() || string_member(*entry, "vm") != vm)) {
        log_warn("router_entry_refused", {{"router", printable(vm)},
                                          {"reason", "names another router"},
                                          {"position", to_text(change.position)}});
        entry.reset();
    }
    if (is_self) {
        const bool is_own = entry && string_member(*entry, "start") == start_id_;
        if (is_own && !entry_is_own_) {
            listener_.on_registered(to_sequence_number(change.position));
        }
        entry_is_own_ = is_own;
    } else if (entry) {
        listener_.on_router({.vm = vm,
                             .region = string_member(*entry, "region"),
                             .failure_domain = string_member(*entry, "failure_domain"),
                             .fleet_address = string_member(*entry, "fleet_address"),
                             .incarnation = to_sequence_number(change.position)});
    } else {
        listener_.on_router_removed(vm);
    }
}

std::string fleet_registration::router_key() const {
    return std::string{router_prefix} + self_.vm;
}

bool fleet_registration::is_registered() const {
    return entry_is_own_ && has_fleet_key_;
}

task<void> fleet_registration::pause(duration time) {
    timer_.expires_after(time);
    co_await timer_.async_wait(use_tuple);
}

task<void> fleet_registration::run() {
    while (!is_listed_) {
        co_await pause(listing_poll_interval);
    }
    while (true) {
        bool succeeded = true;
        if (!has_fleet_key_) {
            succeeded = co_await create_fleet_key();
        }
        const bool renews = succeeded && entry_is_own_;
        if (renews) {
            succeeded = co_await renew();
        } else if (succeeded) {
            succeeded = co_await create_entry();
        }
        const bool settled = succeeded && is_registered();
        failed_renewals_ = renews && !succeeded ? failed_renewals_ + 1 : 0;
        if (!settled || !std::exchange(must_check_, false)) {
            co_await pause(settled                ? renew_interval
                           : failed_renewals_ > 0 ? retry_delay(renewal_delays, failed_renewals_)
                                                  : retry_interval);
        }
    }
}

/// Creates the fleet key unless another router has done so. The created value
/// arrives with the changes of the store.
task<bool> fleet_registration::create_fleet_key() {
    const std::string value = fleet_key_.empty() ? random_id() : fleet_key_;
    auto created = co_await store_.compare_and_swap(prefix_ + std::string{fleet_key_name}, 0, value, 0);
    if (created.has_error()) {
        log_failure("fleet_key_not_created", created.error());
        co_return false;
    }
    if (created->current && !has_fleet_key_) {
        apply({prefix_ + std::string{fleet_key_name},
               created->current->value,
               {created->current->mod_revision, created->era}});
    }
    co_return true;
}

task<bool> fleet_registration::create_entry() {
    auto lease = co_await store_.grant_lease(lease_time);
    if (lease.has_error()) {
        log_failure("router_not_registered", lease.error());
        co_return false;
    }
    lease_ = lease->id;
    const std::string key = router_key();
    auto written = co_await store_.compare_and_swap(prefix_ + key, revisions_[key], entry_text(), lease_);
    if (written.has_error()) {
        log_failure("router_not_registered", written.error());
        co_return false;
    }
    if (written->succeeded) {
        log_info("router_registered",
                 {{"router", self_.vm}, {"incarnation", std::to_string(written->revision)}});
        apply({prefix_ + key, entry_text(), {written->revision, written->era}});
    } else if (written->current) {
        apply({prefix_ + key, written->current->value, {written->current->mod_revision, written->era}});
    } else {
        revisions_[key] = 0;
    }
    co_return written->succeeded;
}

task<bool> fleet_registration::renew() {
    auto renewed = co_await store_.renew_lease(lease_);
    if (renewed.has_error()) {
        log_failure("lease_not_renewed", renewed.error());
        co_return false;
    }
    if (!*renewed) {
        log_warn("lease_ended", {{"lease", std::to_string(lease_)}});
        entry_is_own_ = false;
    }
    co_return *renewed;
}

} // namespace citronwick
