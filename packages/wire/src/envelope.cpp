#include "citronwick/wire/envelope.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/wire/serialization.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace citronwick::wire {

namespace {

constexpr std::size_t tag_bytes = 12;
constexpr std::uint8_t format_version = 1;

/// Number that keeps messages of different types apart.
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

std::string tag_of(const std::string& key, std::string_view body) {
    return hmac_sha256(key, body).substr(0, tag_bytes);
}

template <class Archive>
void archive_header(Archive& archive, header& from) {
    archive(from.sender, from.incarnation, from.sequence);
}

template <class Message>
opened<Message> decode(std::string_view body) {
    std::istringstream stream{std::string{body}};
    cereal::PortableBinaryInputArchive archive{stream};
    std::uint8_t version = 0;
    std::uint8_t type = 0;
    archive(version, type);
    if (version != format_version || type != type_code<Message>) {
        throw cereal::Exception{"unexpected version or message type"};
    }
    opened<Message> result;
    archive_header(archive, result.header);
    archive(result.message);
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
        archive_header(archive, copy);
        archive(message);
    }
    std::string body = std::move(stream).str();
    body += tag_of(key_, body);
    return body;
}

template <class Message>
result<opened<Message>> envelope::open(std::string_view sealed, const std::string& peer) const {
    if (sealed.size() < tag_bytes) {
        return fail({"open message", peer, "truncated"});
    }
    const std::string_view body = sealed.substr(0, sealed.size() - tag_bytes);
    if (!equal_constant_time(tag_of(key_, body), sealed.substr(body.size()))) {
        return fail({"open message", peer, "not authentic"});
    }
    try {
        return decode<Message>(body);
    } catch (const cereal::Exception& error) {
        return fail({"open message", peer, error.what()});
    }
}

template std::string envelope::seal(const header&, const gossip&) const;
template result<opened<gossip>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const document_request&) const;
template result<opened<document_request>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const document_response&) const;
template result<opened<document_response>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const claim_query&) const;
template result<opened<claim_query>> envelope::open(std::string_view, const std::string&) const;
template std::string envelope::seal(const header&, const claim_answer&) const;
template result<opened<claim_answer>> envelope::open(std::string_view, const std::string&) const;

} // namespace citronwick::wire
