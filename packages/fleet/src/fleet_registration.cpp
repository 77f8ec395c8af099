#include "fleet_registration.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"

#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view router_prefix = "routers/";
constexpr std::string_view fleet_key_name = "fleet-key";
constexpr std::chrono::seconds lease_time = 60s;
constexpr std::chrono::milliseconds renew_interval = 20s;
constexpr std::chrono::milliseconds listing_poll_interval = 20ms;
constexpr std::chrono::milliseconds retry_interval = 300ms;

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

void fleet_registration::set_listed() {
    is_listed_ = true;
}

void fleet_registration::apply(const kv_change& change) {
    if (!change.key.starts_with(prefix_)) {
        return;
    }
    const std::string key = change.key.substr(prefix_.size());
    revisions_[key] = change.value ? change.revision : 0;
    if (key == fleet_key_name && change.value) {
        has_fleet_key_ = true;
        listener_.on_fleet_key(*change.value);
    } else if (key.starts_with(router_prefix)) {
        apply_router_entry(key, change);
    }
}

void fleet_registration::apply_router_entry(const std::string& key, const kv_change& change) {
    const bool is_self = key.substr(router_prefix.size()) == self_.vm;
    const auto entry = change.value ? parse_json_object(*change.value) : std::nullopt;
    if (is_self) {
        const bool is_own = entry && string_member(*entry, "start") == start_id_;
        if (is_own && !entry_is_own_) {
            listener_.on_registered(static_cast<std::uint64_t>(change.revision));
        }
        entry_is_own_ = is_own;
    } else if (entry) {
        listener_.on_router({.vm = string_member(*entry, "vm"),
                             .region = string_member(*entry, "region"),
                             .failure_domain = string_member(*entry, "failure_domain"),
                             .fleet_address = string_member(*entry, "fleet_address"),
                             .incarnation = static_cast<std::uint64_t>(change.revision)});
    } else {
        listener_.on_router_removed(key.substr(router_prefix.size()));
    }
}

bool fleet_registration::is_registered() const {
    return entry_is_own_ && has_fleet_key_;
}

task<void> fleet_registration::pause(std::chrono::milliseconds time) {
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
        if (succeeded && !entry_is_own_) {
            succeeded = co_await create_entry();
        } else if (succeeded) {
            succeeded = co_await renew();
        }
        const bool settled = succeeded && is_registered();
        co_await pause(settled ? renew_interval : retry_interval);
    }
}

/// Creates the fleet key unless another router has done so. The created value
/// arrives with the changes of the store.
task<bool> fleet_registration::create_fleet_key() {
    auto created = co_await store_.compare_and_swap(prefix_ + std::string{fleet_key_name}, 0, random_id(), 0);
    if (created.has_error()) {
        log_failure("fleet_key_not_created", created.error());
        co_return false;
    }
    if (created->current && !has_fleet_key_) {
        apply(
            {prefix_ + std::string{fleet_key_name}, created->current->value, created->current->mod_revision});
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
    const std::string key = std::string{router_prefix} + self_.vm;
    auto written = co_await store_.compare_and_swap(prefix_ + key, revisions_[key], entry_text(), lease_);
    if (written.has_error()) {
        log_failure("router_not_registered", written.error());
        co_return false;
    }
    if (written->succeeded) {
        log_info("router_registered",
                 {{"router", self_.vm}, {"incarnation", std::to_string(written->revision)}});
        apply({prefix_ + key, entry_text(), written->revision});
    } else if (written->current) {
        apply({prefix_ + key, written->current->value, written->current->mod_revision});
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
