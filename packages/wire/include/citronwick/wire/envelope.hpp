#ifndef CITRONWICK_WIRE_ENVELOPE_HPP_INCLUDED
#define CITRONWICK_WIRE_ENVELOPE_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronwick::wire {

/// Sender and position of a message; authenticated with its content.
struct header {
    std::uint64_t sender = 0; ///< hash of the sending VM's name
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0; ///< counts the messages of one incarnation
};

/// Header and content of an authentic message.
template <class Message>
struct opened {
    wire::header header;
    Message message;
};

/// Seals messages with the fleet key and opens those of other members.
///
/// A sealed message is a format version, the header, the cereal-encoded
/// message and the first 12 bytes of an HMAC-SHA-256 over all of it.
class envelope {
public:
    /// @param key secret that all routers of a fleet share
    explicit envelope(std::string key);

    template <class Message>
    std::string seal(const header& from, const Message& message) const;

    /// @return a `failure` where the message is truncated, forged, of another
    ///         version or of another type
    template <class Message>
    result<opened<Message>> open(std::string_view sealed, const std::string& peer) const;

private:
    std::string key_;
};

} // namespace citronwick::wire

#endif
