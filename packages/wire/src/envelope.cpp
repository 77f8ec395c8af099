#include "citronwick/wire/envelope.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/wire/serialization.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <type_traits>

namespace citronwick::wire {

namespace {

constexpr std::size_t tag_bytes = 12;
constexpr std::uint8_t format_version = 1;

/// Identifies the type of a message on the wire.
template <class Message>
constexpr std::uint8_t type_code = 0;
template <>
constexpr std::uint8_t type_code<gossip> = 1;
template <>
constexpr std::uint8_t type_code<document_request> = 2;
template <>
constexpr std::uint8_t type_code<document_response> = 3;
template <>
constexpr std::uint8_t type_code<claim_query> = 4;
template <>
constexpr std::uint8_t type_code<claim_answer> = 5;
template <>
constexpr std::uint8_t type_code<tunnel_request> = 6;
template <>
constexpr std::uint8_t type_code<tunnel_reply> = 7;

std::string compute_tag(const std::string& key, std::string_view body) {
    return hmac_sha256(key, body).substr(0, tag_bytes);
}

template <class Archive>
void serialize_header(Archive& archive, header& fields) {
    archive(fields.sender, fields.incarnation, fields.sequence);
}

template <class Message>
opened_message<Message> decode(std::string_view body) {
    std::istringstream stream{std::string{body}};
    cereal::PortableBinaryInputArchive archive{stream};
    std::uint8_t version = 0;
    std::uint8_t type = 0;
    archive(version, type);
    if (version != format_version || type != type_code<Message>) {
        throw cereal::Exception{"unexpected version or message type"};
    }
    opened_message<Message> result;
    serialize_header(archive, result.header);
    archive(result.message);
    if constexpr (std::is_same_v<Message, gossip>) {
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            serialize_more_lists(archive, result.message);
        }
    }
    return result;
}

} // namespace

envelope::envelope(std::string key) : key_{std::move(key)} {}

template <class Message>
std::string envelope::seal(const header& from, const Message& message) const {
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        archive(format_version, type_code<Message>);
        header copy = from;
        serialize_header(archive, copy);
        archive(message);
        if constexpr (std::is_same_v<Message, gossip>) {
            if (has_more_lists(message)) {
                gossip lists = message;
                serialize_more_lists(archive, lists);
            }
        }
    }
    std::string body = std::move(stream).str();
    body += compute_tag(key_, body);
    return body;
}

template <class Message>
result<opened_message<Message>> envelope::open(std::string_view sealed, const std::string& peer) const {
    if (sealed.size() < tag_bytes) {
        return fail({"open message", peer, "truncated"});
    }
    const std::string_view body = sealed.substr(0, sealed.size() - tag_bytes);
    if (!equal_constant_time(compute_tag(key_, body), sealed.substr(body.size()))) {
        return fail({"open message", peer, "not authentic"});
    }
    try {
        return decode<Message>(body);
    } catch (const cereal::Exception& error) {
        return fail({"open message", peer, error.what()});
    }
}

template std::string envelope::seal(const header&, const gossip&) const;
template result<opened_message<gossip>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const document_request&) const;
template result<opened_message<document_request>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const document_response&) const;
template result<opened_message<document_response>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const claim_query&) const;
template result<opened_message<claim_query>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const claim_answer&) const;
template result<opened_message<claim_answer>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const tunnel_request&) const;
template result<opened_message<tunnel_request>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const tunnel_reply&) const;
template result<opened_message<tunnel_reply>> envelope::open(std::string_view, const std::string&) const;

} // namespace citronwick::wire
