#ifndef CITRONWICK_FLEET_STREAM_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_STREAM_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace citronwick {

class begun_streams;
class stream_numberings;

/// Asks the other routers at which version they saw a stream begin. All are asked,
/// since any may have relayed it. Those that know it also tell how its version numbers events.
/// Those that do not remember it reply that, so that a router that is late is not taken for
/// one that knows nothing. Used by the control thread only.
class stream_exchange {
public:
    /// @param version short hash; none if no router remembers the stream
    using reply_callback = std::function<void(std::optional<std::uint32_t> version)>;
    using sender = std::function<void(const wire::gossip&, std::uint64_t to, time_point)>;

    stream_exchange(const begun_streams& streams, stream_numberings& numberings, sender send);

    /// @param key see `begun_streams::key`
    /// @param routers that may have relayed it
    /// @param reply called once a router has named the version or all have replied that they
    ///        do not remember the stream; never if one of these is silent
    void ask(std::uint64_t key, const std::vector<std::uint64_t>& routers, reply_callback reply,
             time_point now);

    void handle_message(std::uint64_t sender, const wire::gossip& message, time_point now);

    /// Forgets questions that nobody has answered.
    void expire(time_point now);

private:
    void record_version(const wire::stream_version& seen);
    void record_unseen(std::uint64_t key, std::uint64_t sender);

    struct question {
        reply_callback reply;
        std::set<std::uint64_t> awaited; ///< routers that have not replied
        time_point asked_at;
    };

    const begun_streams& streams_;
    stream_numberings& numberings_;
    sender send_;
    std::map<std::uint64_t, std::vector<question>> questions_; ///< by key
};

} // namespace citronwick

#endif
