#include "citronwick/fleet/suspect_exchange.hpp"

#include "citronwick/control/suspect_registry.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t domains = 3;
constexpr std::size_t tree_fanout = 3;
constexpr duration tick_interval = 50ms;
constexpr duration query_interval = 800ms;

/// Routers in three failure domains, of which the first live one of each coordinates it.
class exchange_network {
public:
    explicit exchange_network(std::size_t routers) {
        for (std::uint64_t router = 1; router <= routers; ++router) {
            start(router);
        }
    }

    suspect_registry& suspects(std::uint64_t router) { return routers_.at(router)->suspects; }
    void stop(std::uint64_t router) { routers_.erase(router); }
    void cut(std::uint64_t router) { cut_.insert(router); }
    void heal() { cut_.clear(); }
    void lose_share(double share) { loss_ = share; }

    void start(std::uint64_t router) { routers_[router] = std::make_unique<node>(*this, router); }

    void run_for(duration time) {
        for (const time_point end = now_ + time; now_ < end; now_ += tick_interval) {
            for (auto& [name, router] : routers_) {
                router->exchange.tick(now_);
                if (now_ - router->queried_at >= query_interval) {
                    router->queried_at = now_;
                    wire::gossip query;
                    router->exchange.add_digest(query, now_);
                    send(name, query, coordinator(name % domains, name));
                }
            }
            deliver();
        }
    }

    void record_crash(std::uint64_t router, std::uint64_t suspect, std::uint32_t crash) {
        suspects(router).record_crash(suspect, crash, now_);
    }

    /// Number of routers that know of fewer crashes.
    std::ptrdiff_t count_unaware(std::uint64_t suspect, std::uint8_t crashes) {
        return std::ranges::count_if(routers_, [&](const auto& each) {
            return each.second->suspects.crashes(suspect, now_) < crashes;
        });
    }

    time_point now() const { return now_; }

private:
    struct node {
        node(exchange_network& network, std::uint64_t name)
            : exchange{name, suspects, network.connect(name)}, queried_at{network.now_} {}

        suspect_registry suspects;
        suspect_exchange exchange;
        time_point queried_at;
    };
    struct datagram {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        wire::gossip message;
    };

    std::uint64_t coordinator(std::size_t domain, std::uint64_t asker) const {
        const auto found = std::ranges::find_if(routers_, [&](const auto& each) {
            return each.first % domains == domain && !cut_.contains(each.first);
        });
        return cut_.contains(asker) || found == routers_.end() ? asker : found->first;
    }

    coordinator_network connect(std::uint64_t self) {
        return {.coordinator = [this, self](time_point) { return coordinator(self % domains, self); },
                .active_routers = [this](time_point) { return routers_.size(); },
                .report_targets =
                    [this, self](time_point) { return std::vector{coordinator(self % domains, self)}; },
                .other_coordinators =
                    [this, self](time_point) {
                        return std::vector{coordinator((self + 1) % domains, self),
                                           coordinator((self + 2) % domains, self)};
                    },
                .is_full_mesh = [] { return false; },
                .send = [this, self](const wire::gossip& message, std::uint64_t to,
                                     time_point) { send(self, message, to); },
                .relay = [this, self](const wire::gossip& message, const wire::list_id& list,
                                      time_point) { relay(self, message, list); }};
    }

    void send(std::uint64_t from, const wire::gossip& message, std::uint64_t to) {
        const bool is_lost = std::uniform_real_distribution{}(random_) < loss_;
        if (!is_lost && from != to && !cut_.contains(from) && !cut_.contains(to)) {
            in_flight_.push_back({from, to, message});
        }
    }

    void relay(std::uint64_t self, const wire::gossip& message, const wire::list_id& list) {
        std::vector<std::uint64_t> order{list.coordinator};
        for (const auto& each : routers_) {
            if (each.first % domains == list.coordinator % domains && each.first != list.coordinator) {
                order.push_back(each.first);
            }
        }
        const auto position = static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
        for (std::size_t child = position * tree_fanout + 1;
             child <= (position + 1) * tree_fanout && child < order.size(); ++child) {
            send(self, message, order[child]);
        }
    }

    void deliver() {
        while (!in_flight_.empty()) {
            const datagram next = std::move(in_flight_.front());
            in_flight_.pop_front();
            if (const auto found = routers_.find(next.to); found != routers_.end()) {
                found->second->exchange.handle_message(next.from, next.message, now_);
            }
        }
    }

    time_point now_{1h};
    std::map<std::uint64_t, std::unique_ptr<node>> routers_;
    std::set<std::uint64_t> cut_;
    std::deque<datagram> in_flight_;
    double loss_ = 0.0;
    std::mt19937 random_{1};
};

} // namespace

TEST_CASE("all of 91 routers know of a crash that one of them saw a moment later") {
    exchange_network network{91};
    network.record_crash(17, 7, 1);
    network.record_crash(42, 7, 2);
    network.record_crash(80, 7, 3);
    network.run_for(200ms);
    CHECK(network.count_unaware(7, 3) == 0);
}

TEST_CASE("crashes whose messages were lost are known on all of 91 routers within the stable window") {
    exchange_network network{91};
    network.lose_share(0.1);
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
        network.record_crash(std::uint64_t{crash} * 20, 7, crash);
    }
    for (std::uint64_t suspect = 100; suspect < 160; ++suspect) {
        network.record_crash(5, suspect, 1);
        network.record_crash(6, suspect, 2);
    }
    network.run_for(4s);
    CHECK(network.count_unaware(7, 3) == 0);
}

TEST_CASE("a router that starts, or was cut off, learns of the crashes before") {
    exchange_network network{91};
    network.cut(50);
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
        network.record_crash(crash, 7, crash);
    }
    for (std::uint64_t suspect = 100; suspect < 160; ++suspect) {
        network.record_crash(5, suspect, 1);
        network.record_crash(6, suspect, 2);
    }
    network.run_for(1s);
    CHECK(network.count_unaware(7, 3) == 1);
    network.stop(1);
    network.stop(20);
    network.run_for(100ms);
    network.heal();
    network.start(20);
    network.run_for(4s);
    CHECK(network.count_unaware(7, 3) == 0);
}

TEST_CASE("crashes that only cut-off routers saw are known once they are back") {
    exchange_network network{91};
    for (std::uint64_t router = 30; router < 60; ++router) {
        network.cut(router);
    }
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
        network.record_crash(std::uint64_t{30} + crash, 7, crash);
    }
    network.run_for(1s);
    network.heal();
    network.run_for(4s);
    CHECK(network.count_unaware(7, 3) == 0);
}

TEST_CASE("what refutes a crash reaches the routers that missed it") {
    exchange_network network{91};
    network.record_crash(1, 7, 1);
    network.record_crash(2, 7, 2);
    network.run_for(1s);
    network.cut(50);
    network.suspects(3).record_served_part(7, network.now(), network.now());
    network.run_for(1s);
    CHECK(network.suspects(50).crashes(7, network.now()) == 2);
    network.heal();
    network.run_for(4s);
    CHECK(network.suspects(50).crashes(7, network.now()) == 0);
}
