#ifndef CITRONWICK_FLEET_STREAM_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_STREAM_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>

namespace citronwick {

class begun_streams;
class stream_numberings;

/// Asks the other routers at which version they saw a stream begin. All are asked,
/// since any may have relayed it; only those that know answer, and tell how that version
/// numbers its events. Used by the control thread only.
class stream_exchange {
public:
    using reply_callback = std::function<void(std::uint32_t version)>;
    using sender = std::function<void(const wire::gossip&, std::uint64_t to, time_point)>;

    stream_exchange(const begun_streams& streams, stream_numberings& numberings, sender send);

    /// @param key see `begun_streams::key`
    /// @param reply called once with the version's short hash, or never if no router knows it
    void ask(std::uint64_t key, const std::vector<std::uint64_t>& routers, reply_callback reply,
             time_point now);

    void handle_message(std::uint64_t sender, const wire::gossip& message, time_point now);

    /// Forgets questions that nobody has answered.
    void expire(time_point now);

private:
    struct question {
        reply_callback reply;
        time_point asked_at;
    };

    const begun_streams& streams_;
    stream_numberings& numberings_;
    sender send_;
    std::map<std::uint64_t, std::vector<question>> questions_; ///< by key
};

} // namespace citronwick

#endif
