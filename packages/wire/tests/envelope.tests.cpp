#include "citronwick/wire/envelope.hpp"
#include "citronwick/wire/replay_filter.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronwick;

namespace {

wire::gossip sample_message() {
    wire::gossip message;
    message.members.push_back({"entry-a1", "kr-south", "busan-a", "127.0.0.1:7070", 17, false});
    message.usage.push_back({0xabcd, 3});
    message.reports.push_back({0xabcd, 4, 120, true});
    message.leaving.push_back({0xef, 5});
    message.documents.push_back({wire::document_kind::vm_list, 9});
    return message;
}

bool opens_successfully(const wire::envelope& envelope, std::string_view bytes) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(envelope.open<wire::gossip>(bytes, "peer"));
            return true;
        },
        [](const failure& error) {
            CHECK(error.peer == "peer");
            return false;
        },
        [] { return false; });
}

} // namespace

TEST_CASE("opening a sealed message restores its content") {
    const wire::envelope envelope{"key"};
    const auto sealed = envelope.seal({1, 2, 3}, sample_message());
    const auto opened = envelope.open<wire::gossip>(sealed, "peer");
    REQUIRE(opened);
    CHECK(opened->header.sequence == 3);
    CHECK(opened->message.members.at(0).vm == "entry-a1");
    CHECK(opened->message.reports.at(0).age == 120);
    CHECK(opened->message.documents.at(0).generation == 9);
    CHECK(opened->message.suspects.empty());
    CHECK(sealed.size() < 160);
}

TEST_CASE("requests for places and their replies reach the receiver") {
    const wire::envelope envelope{"key"};
    wire::gossip message = sample_message();
    message.place_requests.push_back({0xabcd, 70'000, 90'000});
    message.unseen_streams.push_back(0x123456789);
    message.stream_numberings.push_back({0xdcba, 600, true});
    message.place_replies.push_back({8, true});
    message.returned_places.push_back(9);
    const auto opened = envelope.open<wire::gossip>(envelope.seal({1, 2, 3}, message), "peer");
    REQUIRE(opened);
    CHECK(opened->message.documents.at(0).generation == 9);
    CHECK(opened->message.place_requests.at(0).upstream == 0xabcd);
    CHECK(opened->message.place_requests.at(0).nonce == 70'000);
    CHECK(opened->message.place_requests.at(0).lifetime == 90'000);
    CHECK(opened->message.unseen_streams.at(0) == 0x123456789);
    CHECK(opened->message.stream_numberings.at(0).version == 0xdcba);
    CHECK(opened->message.stream_numberings.at(0).age == 600);
    CHECK(opened->message.stream_numberings.at(0).has_gaps);
    CHECK(opened->message.place_replies.at(0).granted);
    CHECK(opened->message.returned_places.at(0) == 9);
}

TEST_CASE("forged and truncated messages and those of another type are rejected") {
    const wire::envelope envelope{"key"};
    const auto sealed = envelope.seal({1, 2, 3}, sample_message());
    CHECK_FALSE(opens_successfully(wire::envelope{"other key"}, sealed));
    CHECK_FALSE(opens_successfully(envelope, envelope.seal({1, 2, 3}, wire::document_request{})));
    CHECK(rc::check("any change of one byte is rejected", [&] {
        auto changed = sealed;
        const auto at = *rc::gen::inRange<std::size_t>(0, sealed.size());
        changed[at] = static_cast<char>(changed[at] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT(!opens_successfully(envelope, changed));
    }));
    CHECK(rc::check("any truncation is rejected", [&] {
        const auto length = *rc::gen::inRange<std::size_t>(0, sealed.size());
        RC_ASSERT(!opens_successfully(envelope, std::string_view{sealed}.substr(0, length)));
    }));
    CHECK(rc::check("random bytes are rejected", [&] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(!opens_successfully(envelope, bytes));
    }));
}

TEST_CASE("replayed and reordered messages are rejected") {
    wire::replay_filter filter;
    CHECK(filter.accept({1, 10, 1}));
    CHECK_FALSE(filter.accept({1, 10, 1}));
    CHECK(filter.accept({1, 10, 3}));
    CHECK_FALSE(filter.accept({1, 10, 2}));
    CHECK(filter.accept({1, 11, 1}));
    CHECK_FALSE(filter.accept({1, 10, 4}));
    CHECK(filter.accept({2, 1, 1}));
}
