#include "citronwick/traffic/event_splitter.hpp"

#include "citronwick/policy/stream_position.hpp"
#include "citronwick/traffic/event_field.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::string_view_literals;

namespace {

/// Splits a stream and keeps the position behind its complete events.
struct followed_stream {
    event_splitter splitter;
    stream_position position;

    /// @return bytes of the events that are now complete
    std::string push(std::string_view bytes) {
        auto complete = splitter.push(bytes);
        std::ranges::for_each(complete.events, [this](const stream_event& each) { position.advance(each); });
        return std::move(complete.bytes);
    }

    std::string push_in_pieces(std::string_view stream, std::size_t size) {
        std::string events;
        while (!stream.empty()) {
            events += push(stream.substr(0, size));
            stream.remove_prefix(std::min(size, stream.size()));
        }
        return events;
    }
};

} // namespace

TEST_CASE("a field of an event has at most one space that is not part of its value") {
    CHECK(parse_event_field("id: 5").value == "5");
    CHECK(parse_event_field("id:5").value == "5");
    CHECK(parse_event_field("id:  5").value == " 5");
    CHECK(parse_event_field("id:5").name == "id");
    CHECK(parse_event_field("id").name == "id");
    CHECK(parse_event_field("id").value.empty());
    CHECK(parse_event_field(": comment").name.empty());
}

// Guards against streams that begin anew within a response, or are held back to their end.
TEST_CASE("events are recognized in every form that text/event-stream allows") {
    constexpr std::array<std::string_view, 9> streams{
        "id: 5\ndata: a\n\n",
        "id:5\ndata:a\n\n",
        "id:5\r\ndata:a\r\n\r\n",
        "id: 5\rdata: a\r\r",
        "id:5\r\ndata:a\n\r\n",
        "\xEF\xBB\xBFid:5\ndata:a\n\n",
        ": comment\n\nid:4\nid:5\ndata\n\n: comment\n\n",
        "version:2\nid:5\ndata:a\ndata:b\nretry:10\n\n",
        "data:a\nid:5\nid:6\0\n\n"sv,
    };
    for (const std::string_view stream : streams) {
        CAPTURE(stream);
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            followed_stream followed;
            CHECK(followed.push_in_pieces(stream, size) == stream);
            CHECK(followed.splitter.pending_bytes() == 0);
            CHECK(followed.position.last_event_id() == "5");
            CHECK(followed.position.is_resumable());
        }
    }
}

TEST_CASE("a complete event is returned before the next one begins") {
    followed_stream followed;
    CHECK(followed.push("id:1\r\ndata:a\r\n\r") == "id:1\r\ndata:a\r\n\r");
    CHECK(followed.push("\nid:2\r\n") == "\n");
    CHECK(followed.splitter.pending_bytes() == 6);
    CHECK(followed.position.last_event_id() == "1");
    CHECK(followed.push("\r\n") == "id:2\r\n\r\n");
    CHECK(followed.position.last_event_id() == "2");
}

// Guards against the repetition of events whose position is not known.
TEST_CASE("a stream whose last event has no id cannot be resumed") {
    followed_stream followed;
    CHECK(followed.position.is_resumable());
    followed.push(": comment\n\n");
    CHECK(followed.position.is_resumable());
    followed.push("data: a\n\n");
    CHECK_FALSE(followed.position.is_resumable());
    followed.push("id: 2\ndata: b\n\n");
    CHECK(followed.position.is_resumable());
    followed.push("data: c\n\n");
    CHECK_FALSE(followed.position.is_resumable());
    followed.push("id\ndata: d\n\n");
    CHECK_FALSE(followed.position.is_resumable());
    followed.push("id: 3\n\n");
    CHECK(followed.position.is_resumable());
}

TEST_CASE("an incomplete event leaves nothing behind in the stream that goes on") {
    followed_stream followed;
    CHECK(followed.push("id: 1\ndata: a\n\nid: 2\r") == "id: 1\ndata: a\n\n");
    followed.splitter.discard_pending();
    CHECK(followed.position.last_event_id() == "1");
    CHECK(followed.push("\xEF\xBB") == "");
    CHECK(followed.push("\xBFid: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(followed.position.last_event_id() == "2");
}

TEST_CASE("the final event is recognized with and without the optional space") {
    for (const std::string_view stream : {"data: [DONE]\n\n", "data:[DONE]\n\n", "data:[DONE]\r\n\r\n"}) {
        followed_stream followed;
        CHECK(followed.push(stream.substr(0, stream.find('\n') + 1)).empty());
        CHECK_FALSE(followed.position.is_final());
        CHECK(followed.push(stream.substr(stream.find('\n') + 1)) == stream);
        CHECK(followed.position.is_final());
    }
}

TEST_CASE("a stream cannot be resumed after an event whose identifier is too long to be sent") {
    followed_stream followed;
    followed.push("id: 1\ndata: a\n\n");
    CHECK(followed.position.is_resumable());
    followed.push("id: " + std::string(70'000, 'x') + "\ndata: b\n\n");
    CHECK_FALSE(followed.position.is_resumable());
    CHECK(followed.position.last_event_id().empty());
    followed.push("id: 3\ndata: c\n\n");
    CHECK(followed.position.is_resumable());
}

// Guards against sound streams that end broken, as a block that names their last event counts as one.
TEST_CASE("a block without data sets the identifier of the stream and is no event") {
    followed_stream followed;
    CHECK(followed.push("id: 1\ndata: a\n\nid: 1\n\n") == "id: 1\ndata: a\n\nid: 1\n\n");
    CHECK(followed.position.events() == 1);
    CHECK(followed.push("id: 4\nretry: 10\n\n") == "id: 4\nretry: 10\n\n");
    CHECK(followed.position.events() == 1);
    CHECK(followed.position.last_event_id() == "4");
    CHECK(followed.position.is_resumable());
}

TEST_CASE("an event names its weights by a field that the platform chooses") {
    event_splitter splitter{"weights"};
    const auto events =
        splitter.push("weights:7\nid:1\ndata:a\n\nid:2\ndata:b\n\nweights: x\ndata:c\n\n").events;
    REQUIRE(events.size() == 3);
    CHECK(events[0].weight_version == 7);
    CHECK_FALSE(events[1].weight_version);
    CHECK_FALSE(events[2].weight_version);
    CHECK_FALSE(event_splitter{}.push("weights:7\ndata:a\n\n").events.front().weight_version);
}
