#ifndef CITRONWICK_FLEET_PERMIT_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_PERMIT_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/coordinator_network.hpp"
#include "citronwick/fleet/message_number.hpp"
#include "citronwick/policy/permit_pool.hpp"
#include "citronwick/policy/permit_shares.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace citronwick {

class upstream_limits;

/// Shares the upstreams' rate limits between the routers.
///
/// One router of each failure domain, its watcher, is its permit coordinator. It
/// admits each request to a rate-limited upstream from a pool that is refilled with
/// the parts of the routers that delegate to it (`permit_shares`), distributes the
/// known limits, and gives permits that its failure domain does not use to
/// coordinators that had to reject requests. Used by the control thread only.
class permit_exchange {
public:
    using reply_callback = std::function<void(permit_decision)>;

    permit_exchange(std::uint64_t self, upstream_limits& limits, coordinator_network network);

    /// Sets this router's incarnation, which its lists name.
    /// @param incarnation in 32 bits, see `shorten_sequence_number`
    void set_incarnation(std::uint32_t incarnation) { incarnation_ = incarnation; }

    /// Requests a permit for one request to an upstream.
    /// @param saving_ms see `permit_pool::take`
    /// @param reply called once, or never if the coordinator does not answer
    void request(std::uint32_t upstream, double saving_ms, reply_callback reply, time_point now);

    void handle_message(std::uint64_t sender, const wire::gossip& message, time_point now);

    /// Sends what is due. To be called periodically.
    void tick(time_point now);

    /// This coordinator's share of the limits, from 0 to 1.
    double share(time_point now) const;

private:
    /// A coordinator that had to reject requests to an upstream.
    struct rejecting_coordinator {
        std::uint32_t rejections = 0;
        time_point reported_at;
    };
    struct pending_request {
        reply_callback reply;
        time_point sent_at;
    };

    permit_decision decide(std::uint32_t upstream, double saving_ms, time_point now);
    bool is_coordinator(time_point now) const;
    void handle_lists(const wire::gossip& message, time_point now);
    void report_observations(time_point now);
    void distribute_limits(time_point now);
    void report_rejections(time_point now);
    void give_surplus(const std::map<std::uint32_t, double>& limits, time_point now);

    std::uint64_t self_;
    std::uint32_t incarnation_ = 0;
    upstream_limits& limits_;
    coordinator_network network_;
    permit_pool pool_;
    permit_shares shares_;
    std::map<std::uint16_t, pending_request> pending_; ///< by nonce
    std::uint16_t next_nonce_ = 0;
    std::uint32_t list_number_ = 0;
    std::map<std::uint64_t, message_number> newest_list_; ///< by coordinator
    std::uint64_t distributed_changes_ = 0;
    time_point distributed_at_;
    time_point rejections_reported_at_;
    std::map<std::uint32_t, std::map<std::uint64_t, rejecting_coordinator>> rejecting_; ///< by upstream
};

} // namespace citronwick

#endif
