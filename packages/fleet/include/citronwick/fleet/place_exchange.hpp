#ifndef CITRONWICK_FLEET_PLACE_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_PLACE_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace citronwick {

/// Lends places on brittle upstreams to other routers, and borrows theirs, for one request each.
///
/// A lent place counts as taken at its lender, so that all routers together stay within the
/// places that `brittle_places` divides between them. It is free again when the borrower
/// returns it, or at the latest when the borrower's request has ended in any case. Used by the
/// control thread only.
class place_exchange {
public:
    using lendable = std::function<std::optional<lendable_places>(std::uint32_t upstream)>;
    using sender = std::function<void(const wire::gossip&, std::uint64_t to, time_point)>;
    /// Receives the nonce of the loan, none if there is no place to lend.
    using reply_callback = std::function<void(std::optional<std::uint32_t>)>;

    /// @param first_nonce differs between this router's incarnations
    place_exchange(lendable places, sender send, std::uint32_t first_nonce);

    /// Asks a router for one of its places on an upstream.
    /// @param lifetime time after which the request for which it is has ended in any case
    /// @param reply called once, or never if the router does not reply
    void request(std::uint64_t lender, std::uint32_t upstream, duration lifetime, reply_callback reply,
                 time_point now);

    /// Returns a borrowed place.
    void give_back(std::uint64_t lender, std::uint32_t nonce, time_point now);

    void handle_message(std::uint64_t from, const wire::gossip& message, time_point now);

    /// Ends loans that were not returned. To be called periodically.
    void tick(time_point now);

private:
    struct loan {
        loan(std::uint64_t to, const wire::place_request& request, std::shared_ptr<upstream_load> load,
             time_point now);

        std::uint64_t borrower;
        std::uint32_t nonce;
        time_point until;
        taken_place place;
    };
    struct pending_request {
        std::uint64_t lender;
        reply_callback reply;
        time_point sent_at;
    };

    bool lend(std::uint64_t borrower, const wire::place_request& asked, time_point now);

    lendable places_;
    sender send_;
    std::list<loan> loans_;                            ///< to other routers
    std::map<std::uint32_t, pending_request> pending_; ///< by nonce
    std::uint32_t next_nonce_;
};

} // namespace citronwick

#endif
