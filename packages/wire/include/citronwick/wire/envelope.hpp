#ifndef CITRONWICK_WIRE_ENVELOPE_HPP_INCLUDED
#define CITRONWICK_WIRE_ENVELOPE_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronwick::wire {

/// Sender and sequence of a message; authenticated together with its content.
struct header {
    std::uint64_t sender = 0; ///< hash of the sending VM's name
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0; ///< increases with each message of an incarnation
};

/// Header and content of an authenticated message.
template <class Message>
struct opened_message {
    wire::header header;
    Message message;
};

/// Authenticates messages with the fleet key. The content is not encrypted.
///
/// A sealed message consists of a format version, a message type, the header,
/// the cereal-encoded message and the first 12 bytes of an HMAC-SHA-256 over
/// all of these.
class envelope {
public:
    /// @param key secret shared by all routers of a fleet
    explicit envelope(std::string key);

    template <class Message>
    std::string seal(const header& from, const Message& message) const;

    /// @return a `failure` if the message is truncated or forged, or has another
    ///         format version or type
    template <class Message>
    result<opened_message<Message>> open(std::string_view sealed, const std::string& peer) const;

private:
    std::string key_;
};

} // namespace citronwick::wire

#endif
