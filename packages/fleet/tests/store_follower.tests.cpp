#include "citronwick/fleet/store_follower.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <iterator>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

/// Store in memory whose calls fail while it is not serving.
class scripted_store final : public watched_kv_client {
public:
    explicit scripted_store(const asio::any_io_executor& executor) : timer_{executor} {}

    void set_serving(bool is_serving) { is_serving_ = is_serving; }
    std::int64_t revision() const { return revision_; }
    std::int64_t failed_calls() const { return failed_calls_; }

    kv_change remove(std::string key) {
        changes_.push_back({std::move(key), std::nullopt, ++revision_});
        timer_.cancel();
        return changes_.back();
    }

    task<io_result<kv_listing>> list(std::string /*prefix*/) override {
        if (!is_serving_) {
            co_return fail();
        }
        co_return kv_listing{.revision = revision_};
    }

    task<io_result<std::int64_t>> current_revision() override {
        if (!is_serving_) {
            co_return fail();
        }
        co_return revision_;
    }

    task<io_result<kv_changes>> wait_for_changes(std::string /*prefix*/, std::int64_t after,
                                                 std::chrono::milliseconds wait) override {
        if (is_serving_ && after == revision_) {
            timer_.expires_after(wait);
            co_await timer_.async_wait(use_tuple);
        }
        if (!is_serving_) {
            co_return fail();
        }
        kv_changes found{.revision = revision_};
        std::ranges::copy_if(changes_, std::back_inserter(found.changes),
                             [after](const kv_change& each) { return each.revision > after; });
        co_return found;
    }

    task<io_result<bool>> renew_lease(std::int64_t /*lease*/) override { co_return true; }
    task<io_result<std::optional<kv_entry>>> read(std::string /*key*/) override {
        co_return std::optional<kv_entry>{};
    }
    task<io_result<swap_outcome>> compare_and_swap(std::string /*key*/, std::int64_t /*expected*/,
                                                   std::string /*value*/, std::int64_t /*lease*/) override {
        co_return swap_outcome{};
    }
    task<io_result<kv_lease>> grant_lease(std::chrono::seconds /*time_to_live*/) override {
        co_return kv_lease{};
    }
    task<io_result<bool>> wait_for_change(std::string /*key*/, std::int64_t /*after*/,
                                          std::chrono::milliseconds /*timeout*/) override {
        co_return false;
    }
    std::uint64_t take_byte_count() override { return 0; }

private:
    failure fail() {
        ++failed_calls_;
        return {"read response", "store", "rejected", false};
    }

    asio::steady_timer timer_;
    bool is_serving_ = true;
    std::int64_t revision_ = 1;
    std::int64_t failed_calls_ = 0;
    std::vector<kv_change> changes_;
};

/// A follower that is not the watcher, and what it delivered.
struct followed_store {
    followed_store() {
        asio::co_spawn(context, follower.run(), asio::detached);
        asio::co_spawn(context, follower.run_confirmations(), asio::detached);
        run(20ms);
        follower.set_watcher(false);
        store.remove("first");
        run(200ms);
    }

    void run(duration time) { context.run_for(time); }

    asio::io_context context{1};
    scripted_store store{context.get_executor()};
    std::optional<time_point> window_of_listing; ///< lapse window of the last listing
    std::int64_t removals_doubted = 0;
    store_follower follower{
        context.get_executor(), store, 2s,
        store_listener{
            .on_listing = [this](const kv_listing&,
                                 std::optional<time_point> window_end) { window_of_listing = window_end; },
            .on_changes =
                [this](const kv_changes& seen, std::int64_t, std::optional<time_point> window_end) {
                    removals_doubted += window_end ? std::ssize(seen.changes) : 0;
                },
            .on_confirmed = [](boot_time) {}}};
};

} // namespace

TEST_CASE("a router that the store rejected for a moment does not take later removals for lapsed leases") {
    followed_store seen;
    seen.store.set_serving(false);
    seen.follower.notify_revision(seen.store.revision() + 1);
    while (seen.store.failed_calls() == 0) {
        seen.run(10ms);
    }
    seen.store.set_serving(true);
    const auto previous = seen.store.revision();
    const kv_change forwarded = seen.store.remove("second");
    seen.follower.apply_forwarded({{forwarded}, forwarded.revision}, previous);
    seen.run(2s);
    seen.store.remove("third");
    seen.follower.notify_revision(seen.store.revision());
    seen.run(500ms);
    CHECK(seen.follower.revision() == seen.store.revision());
    CHECK_FALSE(seen.window_of_listing);
    CHECK(seen.removals_doubted == 0);
}

TEST_CASE("entries that are missing right after an outage may have lapsed") {
    followed_store seen;
    seen.store.set_serving(false);
    seen.follower.request_confirmation();
    seen.run(2500ms);
    seen.store.remove("second");
    seen.store.set_serving(true);
    seen.run(2s);
    CHECK(seen.follower.revision() == seen.store.revision());
    CHECK(seen.window_of_listing);
}

TEST_CASE("a router that made no call during an outage takes the watcher's word for lapsed entries") {
    followed_store seen;
    const auto previous = seen.store.revision();
    const kv_change forwarded = seen.store.remove("second");
    CHECK(seen.follower.apply_forwarded({{forwarded}, forwarded.revision}, previous, 1500ms));
    CHECK(seen.removals_doubted == 1);
}
