#include "citronwick/fleet/store_follower.hpp"

#include "citronwick/io/log.hpp"
#include "citronwick/io/superseded_changes.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which the store may hold a watch without events.
constexpr std::chrono::milliseconds watch_wait = 5s;
/// Interval at which the watcher polls the store's revision.
constexpr duration confirm_interval = 1s;
/// Wait of a watch that only reads the changes so far.
constexpr std::chrono::milliseconds no_wait = 1ms;
/// Pause after changes, so that those in quick succession share one call.
constexpr duration change_delay = 100ms;
/// Interval at which other routers check whether a confirmation is requested.
constexpr duration confirm_poll_interval = 100ms;
/// Pause between two confirmations that requests wait for.
constexpr duration needed_confirm_interval = 10ms;
/// Delay between the announcement of a change and reading it. Most changes have
/// been forwarded by then, and those in quick succession share one call.
constexpr duration notification_delay = 300ms;
constexpr duration first_back_off = 50ms;
constexpr int max_doublings_watcher = 3;
/// Routers other than the watcher may retry less often, as the watcher announces
/// changes once the store is back.
constexpr int max_doublings_non_watcher = 5;
/// Time of failed calls from which this router reports the store as unreachable,
/// and from which a listing is shorter than the history since.
constexpr duration unreachable_after = 1s;
/// Longest sleep when idle; new work ends it early.
constexpr duration idle_sleep = 10s;

std::string to_milliseconds(duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

store_follower::store_follower(const asio::any_io_executor& executor, watched_kv_client& store,
                               duration lapse_grace, store_listener listener)
    : store_{store}, listener_{std::move(listener)}, wake_{executor}, confirm_timer_{executor},
      outage_{lapse_grace} {}

void store_follower::set_watcher(bool is_watcher) {
    if (is_watcher && !is_watcher_) {
        wake_.cancel();
    }
    is_watcher_ = is_watcher;
}

void store_follower::notify_position(store_position position) {
    if (position > std::max(position_, notified_position_)) {
        notified_position_ = position;
        notified_at_ = clock::now();
        wake_.cancel();
    }
}

void store_follower::record_peer_confirmation(duration age) {
    record_service(clock::now() - age);
}

void store_follower::record_peer_span(service_span span) {
    const auto now = clock::now();
    const bool was_open = outage_.lapse_window_end(now).has_value();
    outage_.record_peer_span(span);
    if (was_open && !outage_.lapse_window_end(now)) {
        log_info("lapse_window_closed",
                 {{"served_ms", to_milliseconds(span.end - span.begin)}, {"position", to_text(position_)}});
        listener_.on_lapse_window_closed();
    }
}

void store_follower::request_confirmation() {
    confirmation_requested_ = true;
}

void store_follower::confirm_since(boot_time since) {
    confirmation_needed_since_ = std::max(confirmation_needed_since_.value_or(since), since);
    confirm_timer_.cancel();
}

/// Passes on that all changes were known when the store was asked.
void store_follower::report_confirmed(boot_time asked_at) {
    if (confirmation_needed_since_ && *confirmation_needed_since_ <= asked_at) {
        confirmation_needed_since_.reset();
    }
    listener_.on_confirmed(asked_at);
}

/// Time until the next list or watch is due, zero if it is due now.
duration store_follower::time_until_work(time_point now) const {
    if (is_watcher_ || !is_listed_) {
        return duration::zero();
    }
    if (notified_position_ > position_) {
        return std::max(notified_at_ + notification_delay - now, duration::zero());
    }
    return idle_sleep;
}

task<void> store_follower::wait_for_work() {
    auto pause = time_until_work(clock::now());
    while (pause > duration::zero()) {
        wake_.expires_after(pause);
        co_await wake_.async_wait(use_tuple);
        pause = time_until_work(clock::now());
    }
}

task<void> store_follower::back_off() {
    const int doublings = is_watcher_ ? max_doublings_watcher : max_doublings_non_watcher;
    const int in_row = std::max(failures_in_row_, older_answers_in_row_);
    return pause(first_back_off * (1 << std::clamp(in_row - 1, 0, doublings)));
}

task<void> store_follower::pause(duration time) {
    asio::steady_timer timer{wake_.get_executor(), time};
    co_await timer.async_wait(use_tuple);
}

task<void> store_follower::run() {
    while (true) {
        co_await wait_for_work();
        bool succeeded = false;
        if (is_listed_ && !prefers_listing_ && !has_era_changed()) {
            const bool waits = is_watcher_ && notified_position_ <= position_;
            if (!waits) {
                log_info("changes_read", {{"position", to_text(position_)},
                                          {"heard_of", to_text(notified_position_)},
                                          {"on_duty", is_watcher_ ? "yes" : "no"}});
            }
            succeeded = co_await watch(waits ? watch_wait : no_wait);
        } else {
            succeeded = co_await list();
        }
        if (!succeeded) {
            co_await back_off();
        }
    }
}

task<void> store_follower::run_confirmations() {
    while (true) {
        // The watch may be waiting on a dead connection, so announced changes
        // are also read here.
        const bool has_overdue_notification =
            notified_position_ > position_ && clock::now() - notified_at_ >= notification_delay;
        const bool is_due =
            is_listed_ && (is_watcher_ || confirmation_requested_ || confirmation_needed_since_ ||
                           has_overdue_notification || calls_fail_since_.has_value());
        bool succeeded = true;
        if (must_relist() || has_era_changed()) {
            succeeded = co_await list();
        } else if (is_due) {
            succeeded = co_await confirm();
        }
        if (!succeeded) {
            co_await back_off();
            continue;
        }
        const duration interval = is_watcher_ ? confirm_interval : confirm_poll_interval;
        confirm_timer_.expires_after(confirmation_needed_since_ ? needed_confirm_interval : interval);
        co_await confirm_timer_.async_wait(use_tuple);
    }
}

/// Whether a listing that became necessary by lost history has failed.
bool store_follower::must_relist() const {
    return !is_listed_ && position_ > store_position{};
}

/// Whether a response or a peer has named a newer era than the one followed.
bool store_follower::has_era_changed() const {
    const std::uint64_t newest = store_.newest_era();
    const std::uint64_t named = newest == disproved_era_ ? 0 : newest;
    return is_listed_ && std::max(named, notified_position_.era) > position_.era;
}

/// Reads the store's revision. Changes that are not known yet are read before the
/// state counts as confirmed.
task<bool> store_follower::confirm() {
    const auto requested_at = boot_now();
    auto current = co_await store_.current_position();
    if (current.has_error()) {
        record_failure(current.error());
        co_return false;
    }
    record_success();
    if (is_listed_ && *current > position_) {
        const bool must_list = prefers_listing_ || current->era != position_.era;
        const bool followed = must_list ? co_await list() : co_await watch(no_wait);
        if (!followed) {
            co_return false;
        }
    }
    if (is_listed_ && *current <= position_) {
        prefers_listing_ = false;
        confirmation_requested_ = false;
        report_confirmed(requested_at);
    }
    co_return true;
}

bool store_follower::is_store_reachable(time_point now) const {
    return !calls_fail_since_ || now - *calls_fail_since_ < unreachable_after;
}

void store_follower::record_service(time_point served_at) {
    if (const auto length = outage_.record_service(served_at)) {
        log_info("store_outage_ended",
                 {{"length_ms", to_milliseconds(*length)}, {"position", to_text(position_)}});
    }
}

void store_follower::record_success() {
    const auto now = clock::now();
    record_service(now);
    if (calls_fail_since_) {
        const duration away = now - *std::exchange(calls_fail_since_, std::nullopt);
        log_info("store_regained",
                 {{"away_ms", to_milliseconds(away)}, {"failures", std::to_string(failures_in_row_)}});
        prefers_listing_ = prefers_listing_ || (is_listed_ && away >= unreachable_after);
    }
    failures_in_row_ = 0;
}

void store_follower::record_failure(const failure& error) {
    const auto now = clock::now();
    outage_.record_failure(now);
    if (!calls_fail_since_) {
        calls_fail_since_ = now;
        log_warn("store_lost", {{"step", error.step},
                                {"peer", error.peer},
                                {"detail", error.detail},
                                {"position", to_text(position_)}});
    }
    ++failures_in_row_;
}

/// Logs a response from before what is already known, and slows further calls down.
void store_follower::refuse_older(store_position received) {
    ++older_answers_in_row_;
    log_warn("store_answer_refused", {{"reason", "older than the position already known"},
                                      {"position", to_text(received)},
                                      {"known", to_text(position_)},
                                      {"in_row", std::to_string(older_answers_in_row_)}});
}

task<bool> store_follower::list() {
    const auto requested_at = boot_now();
    const std::uint64_t named_before = store_.newest_era();
    auto listing = co_await store_.list("");
    if (listing.has_error()) {
        record_failure(listing.error());
        co_return false;
    }
    record_success();
    if (listing->position < position_) {
        refuse_older(listing->position);
        co_return false;
    }
    older_answers_in_row_ = 0;
    if (listing->position.era < named_before) {
        disproved_era_ = named_before;
    }
    if (position_ > store_position{} && listing->position.era > position_.era) {
        log_warn("store_restored", {{"position", to_text(listing->position)}, {"known", to_text(position_)}});
        outage_.record_restoration(clock::now());
    }
    is_listed_ = true;
    prefers_listing_ = false;
    confirmation_requested_ = false;
    position_ = listing->position;
    notified_position_ = std::max(notified_position_, position_);
    listener_.on_listing(*listing, outage_.lapse_window_end(clock::now()));
    report_confirmed(requested_at);
    co_return true;
}

task<bool> store_follower::watch(std::chrono::milliseconds wait) {
    const auto after = position_;
    auto seen = co_await store_.wait_for_changes("", after.revision, wait);
    if (seen.has_error()) {
        record_failure(seen.error());
        co_return false;
    }
    record_success();
    if (position_ != after) {
        co_return true; // another call has advanced the position meanwhile
    }
    if (seen->position.era < after.era) {
        refuse_older(seen->position);
        co_return false;
    }
    // The store delivers an event for every change, so a position beyond the last
    // event means that some changes were not delivered. Events of another era follow
    // on changes that this router does not have.
    const store_position delivered = seen->changes.empty() ? after : seen->changes.back().position;
    const bool is_other_era = seen->position.era != after.era;
    if (seen->history_lost || is_other_era || seen->position > delivered) {
        log_warn("store_history_lost",
                 {{"position", to_text(position_)}, {"store_position", to_text(seen->position)}});
        is_listed_ = false;
        co_return co_await list();
    }
    if (seen->position <= position_) {
        co_return true;
    }
    drop_superseded(*seen);
    const auto previous = std::exchange(position_, seen->position);
    notified_position_ = std::max(notified_position_, position_);
    listener_.on_changes(*seen, previous, outage_.lapse_window_end(clock::now()));
    co_await pause(change_delay);
    co_return true;
}

bool store_follower::apply_forwarded(const kv_changes& forwarded, store_position previous, duration lapse) {
    if (!is_listed_ || previous > position_ || forwarded.position <= position_ ||
        forwarded.position.era != position_.era) {
        notify_position(forwarded.position);
        return false;
    }
    prefers_listing_ = false;
    const auto now = clock::now();
    if (lapse > duration::zero()) {
        outage_.extend_lapse_window(now + lapse);
    }
    const auto before = std::exchange(position_, forwarded.position);
    notified_position_ = std::max(notified_position_, position_);
    listener_.on_changes(forwarded, before, outage_.lapse_window_end(now));
    return true;
}

} // namespace citronwick
