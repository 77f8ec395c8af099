#include "citronwick/fleet/tunnel_gate.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/wire/envelope.hpp"

#include <algorithm>

namespace citronwick {

namespace {

bool is_upstream(const routing_view& view, const endpoint& address) {
    const auto has_address = [&address](const auto& service) {
        return std::ranges::any_of(service.second, [&address](const routed_upstream& each) {
            return each.entry.address == address;
        });
    };
    return std::ranges::any_of(view.upstreams, has_address) || std::ranges::any_of(view.leaving, has_address);
}

bool is_running(const fleet_directory& known, const wire::header& sender) {
    const auto sent_it = [&sender](const fleet_peer& each) {
        return each.hash == sender.sender && each.incarnation == sender.incarnation;
    };
    return std::ranges::any_of(known.live, sent_it) || std::ranges::any_of(known.leaving, sent_it);
}

} // namespace

io_result<accepted_tunnel> tunnel_gate::open(const std::string& sealed, const std::string& peer,
                                             const fleet_directory& known, const routing_view& view) {
    const wire::envelope envelope{known.key};
    const auto opened = io_result_of<wire::opened_message<wire::tunnel_request>>(
        [&] { return envelope.open<wire::tunnel_request>(sealed, peer); });
    if (known.key.empty() || opened.has_error()) {
        return opened.has_error() ? opened.error() : failure{"open tunnel", peer, "no fleet key"};
    }
    const wire::tunnel_request& request = opened->message;
    if (request.receiver != known.self || request.receiver_incarnation != known.incarnation) {
        return failure{"open tunnel", peer, "the request is for another router"};
    }
    if (!is_running(known, opened->header)) {
        return failure{"open tunnel", peer, "the sender is no running router"};
    }
    if (!window_.accept(opened->header)) {
        return failure{"open tunnel", peer, "the request is not new"};
    }
    const auto upstream = parse_endpoint(request.upstream);
    if (!upstream || !is_upstream(view, *upstream)) {
        return failure{"open tunnel", peer, request.upstream + " is no upstream"};
    }
    return accepted_tunnel{*upstream, std::chrono::milliseconds{request.timeout}, request.nonce};
}

} // namespace citronwick
