#include "citronwick/fleet/store_follower.hpp"

#include <algorithm>
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
    store_position position() const { return {revision_, era_}; }

    /// Comes back from a copy taken at a revision.
    void restore(std::int64_t revision) {
        ++era_;
        revision_ = revision;
        changes_.clear();
        timer_.cancel();
    }

    /// Delivers the next listing as if it had been sent in an earlier era.
    void send_older_listings(bool is_older) { sends_older_ = is_older; }
    std::int64_t listings() const { return listings_; }

    /// Has a response name an era that is none of the store's.
    void name_era(std::uint64_t era) { newest_era_ = era; }
    std::int64_t failed_calls() const { return failed_calls_; }

    kv_change remove(std::string key) {
        changes_.push_back({std::move(key), std::nullopt, {++revision_, era_}});
        timer_.cancel();
        return changes_.back();
    }

    task<io_result<kv_listing>> list(std::string /*prefix*/) override {
        if (!is_serving_) {
            co_return fail();
        }
        ++listings_;
        newest_era_ = sends_older_ ? newest_era_ : std::max(newest_era_, era_);
        asio::steady_timer latency{timer_.get_executor(), 1ms};
        co_await latency.async_wait(use_tuple);
        co_return kv_listing{.position = sends_older_ ? store_position{} : position()};
    }

    std::uint64_t newest_era() const override { return newest_era_; }

    task<io_result<store_position>> current_position() override {
        if (!is_serving_) {
            co_return fail();
        }
        newest_era_ = std::max(newest_era_, era_);
        co_return position();
    }

    task<io_result<kv_changes>> wait_for_changes(std::string /*prefix*/, std::int64_t after,
                                                 std::chrono::milliseconds wait) override {
        const auto era = era_;
        if (is_serving_ && after == revision_) {
            timer_.expires_after(wait);
            co_await timer_.async_wait(use_tuple);
        }
        if (!is_serving_) {
            co_return fail();
        }
        newest_era_ = std::max(newest_era_, era_);
        kv_changes found{.position = position(), .history_lost = era != era_ || after > revision_};
        std::ranges::copy_if(changes_, std::back_inserter(found.changes),
                             [after](const kv_change& each) { return each.position.revision > after; });
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
    std::uint64_t era_ = 1;
    std::uint64_t newest_era_ = 0;
    bool sends_older_ = false;
    std::int64_t listings_ = 0;
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
    std::int64_t confirmations = 0;
    std::int64_t closed_windows = 0;
    store_follower follower{
        context.get_executor(), store, 2s,
        store_listener{
            .on_listing = [this](const kv_listing&,
                                 std::optional<time_point> window_end) { window_of_listing = window_end; },
            .on_changes =
                [this](const kv_changes& seen, store_position, std::optional<time_point> window_end) {
                    removals_doubted += window_end ? std::ssize(seen.changes) : 0;
                },
            .on_confirmed = [this](boot_time) { ++confirmations; },
            .on_lapse_window_closed = [this] { ++closed_windows; }}};
};

} // namespace

TEST_CASE("a router that the store rejected for a moment does not take later removals for lapsed leases") {
    followed_store seen;
    seen.store.set_serving(false);
    seen.follower.notify_position({seen.store.position().revision + 1, seen.store.position().era});
    while (seen.store.failed_calls() == 0) {
        seen.run(10ms);
    }
    seen.store.set_serving(true);
    const auto previous = seen.store.position();
    const kv_change forwarded = seen.store.remove("second");
    seen.follower.apply_forwarded({{forwarded}, forwarded.position}, previous);
    seen.run(2s);
    seen.store.remove("third");
    seen.follower.notify_position(seen.store.position());
    seen.run(500ms);
    CHECK(seen.follower.position() == seen.store.position());
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
    CHECK(seen.follower.position() == seen.store.position());
    CHECK(seen.window_of_listing);
}

TEST_CASE("a router that made no call during an outage takes the watcher's word for lapsed entries") {
    followed_store seen;
    const auto previous = seen.store.position();
    const kv_change forwarded = seen.store.remove("second");
    CHECK(seen.follower.apply_forwarded({{forwarded}, forwarded.position}, previous, 1500ms));
    CHECK(seen.removals_doubted == 1);
}

TEST_CASE("a router follows a store that came back from a copy with lower revisions") {
    followed_store seen;
    for (int change = 0; change < 5; ++change) {
        seen.store.remove("later");
    }
    seen.follower.notify_position(seen.store.position());
    seen.run(600ms);
    REQUIRE(seen.follower.position() == seen.store.position());
    const auto listings = seen.store.listings();
    seen.store.restore(2);
    seen.follower.request_confirmation();
    seen.run(1s);
    CHECK(seen.follower.position() == store_position{2, 2});
    CHECK(seen.window_of_listing); // what is missing may be written again
    CHECK(seen.store.listings() <= listings + 2);
    const auto confirmations = seen.confirmations;
    seen.follower.request_confirmation();
    seen.run(1s);
    CHECK(seen.confirmations > confirmations);
}

TEST_CASE("a position of the history before a copy, from a peer or an old response, changes nothing") {
    followed_store seen;
    const store_position before = seen.store.position();
    seen.store.restore(1);
    seen.follower.request_confirmation();
    seen.run(1s);
    REQUIRE(seen.follower.position() == store_position{1, 2});
    const auto listings = seen.store.listings();
    seen.follower.notify_position({before.revision + 100, before.era});
    const kv_change old{"key", "value", {before.revision + 1, before.era}};
    CHECK_FALSE(seen.follower.apply_forwarded({{old}, old.position}, before));
    seen.run(1s);
    CHECK(seen.follower.position() == store_position{1, 2});
    CHECK(seen.store.listings() == listings);
}

TEST_CASE("a router learns from a peer that the store came back from a copy") {
    followed_store seen;
    seen.store.restore(1);
    seen.follower.notify_position(seen.store.position());
    seen.run(1s);
    CHECK(seen.follower.position() == seen.store.position());
}

TEST_CASE("responses that are older than what is known are not asked for again and again") {
    followed_store seen;
    seen.store.restore(1);
    seen.store.send_older_listings(true);
    seen.follower.notify_position(seen.store.position());
    const auto listings = seen.store.listings();
    seen.run(5s);
    CHECK(seen.store.listings() - listings <= 20);
    seen.store.send_older_listings(false);
    seen.run(4s);
    CHECK(seen.follower.position() == seen.store.position());
}

TEST_CASE("a confirmation that a request waits for is asked for at once, also by the watcher") {
    followed_store seen;
    SUBCASE("by a router that does not watch") {}
    SUBCASE("by the watcher") {
        seen.follower.set_watcher(true);
        seen.run(200ms);
    }
    const auto confirmations = seen.confirmations;
    seen.follower.confirm_since(boot_now());
    seen.run(60ms);
    CHECK(seen.confirmations == confirmations + 1);
    seen.store.set_serving(false);
    seen.follower.confirm_since(boot_now());
    seen.run(60ms);
    CHECK(seen.confirmations == confirmations + 1);
    CHECK(seen.store.failed_calls() <= 3);
}

TEST_CASE("an era that a response names and a later listing does not bear out is not listed for again") {
    followed_store followed;
    followed.follower.set_watcher(true);
    followed.run(20ms);
    const auto before = followed.store.listings();
    followed.store.name_era(4'000'000'000);
    followed.store.remove("second");
    followed.follower.notify_position(followed.store.position());
    followed.run(2s);
    CHECK(followed.store.listings() > before);
    CHECK(followed.store.listings() - before < 4);
    CHECK(followed.follower.position() == followed.store.position());
}
