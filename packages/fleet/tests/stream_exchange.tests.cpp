#include "citronwick/fleet/stream_exchange.hpp"

#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/fleet/stream_numberings.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t stream = 42;
constexpr std::uint64_t self = 1;

/// A router that is asked by `self`, and what it replied.
struct asked_router {
    wire::gossip ask() {
        wire::gossip question;
        question.stream_queries.push_back(stream);
        exchange.handle_message(self, question, now);
        return reply;
    }

    begun_streams streams;
    stream_numberings numberings;
    wire::gossip reply;
    stream_exchange exchange{
        streams, numberings,
        [this](const wire::gossip& message, std::uint64_t, time_point) { reply = message; }};
    time_point now = clock::now();
};

/// A router that asks, and what it was told.
struct asking_router {
    void ask(const std::vector<std::uint64_t>& routers) {
        exchange.ask(
            stream, routers,
            [this](std::optional<std::uint32_t> version) {
                told += version ? std::to_string(*version) + ";" : "unseen;";
            },
            now);
    }

    void receive(std::uint64_t sender, const wire::gossip& message) {
        exchange.handle_message(sender, message, now);
    }

    begun_streams streams;
    stream_numberings numberings;
    std::string told;
    stream_exchange exchange{streams, numberings, [](const wire::gossip&, std::uint64_t, time_point) {}};
    time_point now = clock::now();
};

wire::gossip unseen() {
    wire::gossip message;
    message.unseen_streams.push_back(stream);
    return message;
}

wire::gossip seen(std::uint32_t version) {
    wire::gossip message;
    message.stream_versions.push_back({stream, version});
    return message;
}

} // namespace

TEST_CASE("a router replies at which version it saw a stream begin, or that it does not remember it") {
    asked_router asked;
    CHECK(asked.ask().unseen_streams == std::vector{stream});
    asked.streams.record(stream, 7, asked.now);
    CHECK(asked.ask().unseen_streams.empty());
    CHECK(asked.reply.stream_versions.at(0).version == 7);
    asked.now += begun_streams::lifetime;
    CHECK(asked.ask().unseen_streams == std::vector{stream});
}

TEST_CASE("a router that had no room to remember streams does not reply that it has not seen one") {
    constexpr std::uint64_t more_than_fit = 32'769;
    asked_router asked;
    for (std::uint64_t key = 100; key < 100 + more_than_fit; ++key) {
        asked.streams.record(key, 7, asked.now);
    }
    asked.ask();
    CHECK(asked.reply.unseen_streams.empty());
    asked.now += begun_streams::lifetime;
    CHECK(asked.ask().unseen_streams == std::vector{stream});
}

// Guards against silence that is taken for a reply (ORDER).
TEST_CASE("a stream counts as unseen only once all routers have replied that") {
    asking_router asking;
    SUBCASE("one of them is silent") {
        asking.ask({2, 3});
        asking.receive(2, unseen());
        asking.receive(2, unseen());
        asking.receive(4, unseen());
        CHECK(asking.told.empty());
        asking.receive(3, unseen());
        CHECK(asking.told == "unseen;");
    }
    SUBCASE("one of them remembers it") {
        asking.ask({2, 3});
        asking.receive(2, unseen());
        asking.receive(3, seen(7));
        CHECK(asking.told == "7;");
    }
    SUBCASE("two requests ask for it") {
        asking.ask({2});
        asking.ask({2, 3});
        asking.receive(2, unseen());
        CHECK(asking.told == "unseen;");
        asking.receive(3, seen(7));
        CHECK(asking.told == "unseen;7;");
    }
    SUBCASE("there are none") {
        asking.ask({});
        CHECK(asking.told == "unseen;");
    }
    SUBCASE("the question is forgotten") {
        asking.ask({2});
        asking.now += 1s;
        asking.exchange.expire(asking.now);
        asking.receive(2, unseen());
        CHECK(asking.told.empty());
    }
}
