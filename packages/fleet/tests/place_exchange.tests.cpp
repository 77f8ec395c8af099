#include "citronwick/fleet/place_exchange.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/policy/brittle_places.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <numeric>
#include <optional>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr std::uint64_t upstream = 77;
constexpr std::uint32_t slots = 6;
constexpr std::uint64_t first_router = 1'000;

/// Routers before one brittle upstream, whose messages arrive at once unless they are to be lost.
class lending_fleet {
public:
    explicit lending_fleet(std::size_t routers) : names_(routers) {
        std::iota(names_.begin(), names_.end(), first_router);
        for (const std::uint64_t self : names_) {
            const auto load = std::make_shared<upstream_load>();
            const int own = brittle_places{upstream, slots, 5.0, self, names_}.own();
            loads_.push_back(load);
            exchanges_.push_back(std::make_unique<place_exchange>(
                [load, own](std::uint32_t asked) {
                    return asked == short_hash(upstream) ? std::optional{lendable_places{load, own}}
                                                         : std::nullopt;
                },
                [this, self](const wire::gossip& message, std::uint64_t to, time_point now) {
                    const bool is_return = !message.returned_places.empty();
                    const bool is_reply = !message.place_replies.empty();
                    if (!(is_return && loses_returns) && !(is_reply && loses_replies)) {
                        exchange(to).handle_message(self, message, now);
                    }
                },
                0));
        }
    }

    place_exchange& exchange(std::uint64_t router) { return *exchanges_.at(router - first_router); }
    upstream_load& load(std::uint64_t router) { return *loads_.at(router - first_router); }
    std::vector<std::uint64_t> holders() const { return place_holders(upstream, slots, names_); }

    /// @return the loan's nonce
    std::optional<std::uint32_t> borrow(std::uint64_t borrower, std::uint64_t lender, time_point now) {
        std::optional<std::uint32_t> loan;
        exchange(borrower).request(
            lender, short_hash(upstream), 10s, [&loan](std::optional<std::uint32_t> nonce) { loan = nonce; },
            now);
        return loan;
    }

    /// Has each router ask each other one, and returns the number of loans.
    int borrow_all(time_point now) {
        int loans = 0;
        for (const std::uint64_t borrower : names_) {
            for (const std::uint64_t lender : names_) {
                loans += borrower != lender && borrow(borrower, lender, now) ? 1 : 0;
            }
        }
        return loans;
    }

    int taken() const {
        return std::accumulate(loads_.begin(), loads_.end(), 0,
                               [](int sum, const auto& load) { return sum + load->taken_places.load(); });
    }

    void tick(time_point now) {
        for (const auto& each : exchanges_) {
            each->tick(now);
        }
    }

    bool loses_returns = false;
    bool loses_replies = false;

private:
    std::vector<std::uint64_t> names_;
    std::vector<std::shared_ptr<upstream_load>> loads_;
    std::vector<std::unique_ptr<place_exchange>> exchanges_;
};

} // namespace

TEST_CASE("routers lend all slots of a brittle upstream, and never more") {
    for (const std::size_t routers : {9, 77, 91, 295}) {
        lending_fleet fleet{routers};
        CHECK(fleet.borrow_all(start) == static_cast<int>(slots));
        CHECK(fleet.taken() == static_cast<int>(slots));
    }
}

TEST_CASE("a router lends no place that its own requests have taken") {
    lending_fleet fleet{91};
    for (const std::uint64_t holder : fleet.holders()) {
        fleet.load(holder).taken_places = 1;
    }
    CHECK(fleet.borrow_all(start) == 0);
    CHECK(fleet.taken() == static_cast<int>(slots));
}

TEST_CASE("a place that is returned twice is free once") {
    lending_fleet fleet{91};
    const auto lender = fleet.holders().front();
    const auto borrower = lender == first_router ? first_router + 1 : first_router;
    const auto loan = fleet.borrow(borrower, lender, start);
    REQUIRE(loan);
    CHECK_FALSE(fleet.borrow(borrower, lender, start));
    fleet.exchange(borrower).give_back(lender, *loan, start);
    fleet.exchange(borrower).give_back(lender, *loan, start);
    CHECK(fleet.load(lender).taken_places == 0);
    CHECK(fleet.borrow(borrower, lender, start));
}

TEST_CASE("a place that is not returned is free again when its request has ended in any case") {
    lending_fleet fleet{91};
    fleet.loses_returns = true;
    CHECK(fleet.borrow_all(start) == static_cast<int>(slots));
    fleet.tick(start + 9s);
    CHECK(fleet.taken() == static_cast<int>(slots));
    fleet.tick(start + 10s);
    CHECK(fleet.taken() == 0);
}

TEST_CASE("a place whose grant was lost is returned") {
    lending_fleet fleet{91};
    fleet.loses_replies = true;
    CHECK(fleet.borrow_all(start) == 0);
    CHECK(fleet.taken() == static_cast<int>(slots));
    fleet.tick(start + 1s);
    CHECK(fleet.taken() == 0);
}
