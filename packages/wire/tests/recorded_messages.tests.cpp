// Routers of the previous landing and of this one understand each other's messages.

#include "recorded_messages.hpp"
#include "sample_messages.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/wire/serialization.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/vector.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <sstream>

using namespace citronwick;

namespace {

constexpr std::size_t tag_bytes = 12;
const wire::envelope envelope{samples::key};

std::string from_hex(std::string_view text) {
    constexpr int base = 16;
    std::string bytes;
    for (; text.size() >= 2; text.remove_prefix(2)) {
        bytes += static_cast<char>(std::stoi(std::string{text.substr(0, 2)}, nullptr, base));
    }
    return bytes;
}

template <class Message>
std::optional<wire::opened_message<Message>> open(std::string_view sealed) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<wire::opened_message<Message>>> {
            BOOST_LEAF_AUTO(opened, envelope.open<Message>(sealed, "peer"));
            return std::optional{std::move(opened)};
        },
        [](const failure& error) {
            CHECK(error.peer == "peer");
            return std::optional<wire::opened_message<Message>>{};
        },
        [] { return std::optional<wire::opened_message<Message>>{}; });
}

/// The message without its authentication.
std::string body_of(const std::string& sealed) {
    return sealed.substr(0, sealed.size() - tag_bytes);
}

std::string seal_body(const std::string& body) {
    return body + hmac_sha256(samples::key, body).substr(0, tag_bytes);
}

/// Appends numbers as the archives write them.
template <class... Numbers>
std::string encode(Numbers... numbers) {
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        archive(numbers...);
    }
    // The first byte states the byte order; only one stands at the beginning of a message.
    return std::move(stream).str().substr(1);
}

/// Checks that this code writes a message as it was recorded, and reads the recording as that message:
/// what was read is written again, so that each field counts.
template <class Message>
void check_recording(std::string_view recording, const Message& sample) {
    const std::string recorded = from_hex(recording);
    CHECK(envelope.seal(samples::header, sample) == recorded);
    const auto opened = open<Message>(recorded);
    REQUIRE(opened);
    CHECK(opened->header.sender == samples::header.sender);
    CHECK(opened->header.incarnation == samples::header.incarnation);
    CHECK(opened->header.sequence == samples::header.sequence);
    CHECK(envelope.seal(opened->header, opened->message) == recorded);
}

/// Offset of the mask of the lists that follow the first 32, in a message that has just some of these.
std::size_t offset_of_second_mask(const wire::gossip& message) {
    wire::gossip first_lists = message;
    first_lists.place_requests.clear();
    first_lists.place_replies.clear();
    first_lists.returned_places.clear();
    first_lists.unseen_streams.clear();
    return body_of(envelope.seal(samples::header, first_lists)).size();
}

} // namespace

TEST_CASE("messages of the previous landing are read as they were meant, and written alike") {
    check_recording(recorded::gossip, samples::gossip());
    check_recording(recorded::document_request, samples::document_request());
    check_recording(recorded::document_response, samples::document_response());
    check_recording(recorded::claim_query, samples::claim_query());
    check_recording(recorded::claim_answer, samples::claim_answer());
    check_recording(recorded::tunnel_request, samples::tunnel_request());
    check_recording(recorded::tunnel_reply, samples::tunnel_reply());
}

TEST_CASE("fields of recorded messages have the values that the previous landing gave them") {
    const auto lists = open<wire::gossip>(from_hex(recorded::gossip));
    REQUIRE(lists);
    CHECK(lists->message.members.at(0).vm == "entry-a1");
    CHECK(lists->message.load_table.at(1).backlog == 135);
    CHECK(lists->message.limits.at(0).per_second == 10'050.5F);
    CHECK(lists->message.stream_versions.at(0).version == 10'074);
    CHECK(lists->message.returned_places == std::vector<std::uint32_t>{10'079});
    CHECK(lists->message.unseen_streams.empty());
    const auto asked = open<wire::tunnel_request>(from_hex(recorded::tunnel_request));
    REQUIRE(asked);
    CHECK(asked->message.upstream == "10.1.2.4:8080");
    CHECK(asked->message.receiver_incarnation == 10'084);
    const auto reply = open<wire::tunnel_reply>(from_hex(recorded::tunnel_reply));
    REQUIRE(reply);
    CHECK(reply->message.result == wire::tunnel_result::not_reached);
}

TEST_CASE("changes of the store that the previous landing packed are unpacked as they were meant") {
    const auto read = wire::unpack_changes(from_hex(recorded::changes), "peer");
    REQUIRE(read);
    const auto meant = samples::changes();
    REQUIRE(read->size() == meant.size());
    for (std::size_t index = 0; index < meant.size(); ++index) {
        CHECK(read->at(index).key == meant[index].key);
        CHECK(read->at(index).value == meant[index].value);
        CHECK(read->at(index).is_removal == meant[index].is_removal);
        CHECK(read->at(index).previous == meant[index].previous);
        CHECK(read->at(index).revision == meant[index].revision);
    }
}

TEST_CASE("a message with a later list is read by a router that knows only the lists before it") {
    wire::gossip message = samples::gossip();
    message.unseen_streams = {10'091, 10'092};
    const std::string body = body_of(envelope.seal(samples::header, message));
    std::istringstream stream{body.substr(offset_of_second_mask(message))};
    // As the previous landing reads it.
    std::istringstream with_byte_order{body.substr(0, 1) + std::move(stream).str()};
    cereal::PortableBinaryInputArchive archive{with_byte_order};
    wire::gossip known;
    wire::serialize_present(archive, known.place_requests, known.place_replies, known.returned_places);
    CHECK(known.place_requests.at(0).lifetime == 10'077);
    CHECK(known.place_replies.at(0).nonce == 10'078);
    CHECK(known.returned_places == message.returned_places);
}

TEST_CASE("lists that a later landing appends are ignored, and those before them are read") {
    wire::gossip message = samples::gossip();
    message.unseen_streams = {10'091};
    std::string body = body_of(envelope.seal(samples::header, message));
    const std::size_t at = offset_of_second_mask(message);
    constexpr std::uint32_t known_lists = 0b1111;
    constexpr std::uint32_t later_lists = 0xC000'0000;
    REQUIRE(body.substr(at, sizeof(known_lists)) == encode(known_lists));
    body.replace(at, sizeof(known_lists), encode(known_lists | later_lists));
    body += encode(std::uint16_t{1}, std::uint64_t{10'093}, std::uint16_t{1}, std::uint8_t{94});
    const auto opened = open<wire::gossip>(seal_body(body));
    REQUIRE(opened);
    CHECK(envelope.seal(opened->header, opened->message) == envelope.seal(samples::header, message));
}

TEST_CASE("messages of an unknown kind or format are refused") {
    constexpr std::size_t format_at = 1;
    constexpr std::size_t kind_at = 2;
    const std::string body = body_of(envelope.seal(samples::header, samples::gossip()));
    REQUIRE(open<wire::gossip>(seal_body(body)));
    for (const std::size_t at : {format_at, kind_at}) {
        std::string changed = body;
        changed[at] = 8;
        CHECK_FALSE(open<wire::gossip>(seal_body(changed)));
        CHECK_FALSE(open<wire::tunnel_request>(seal_body(changed)));
    }
}
