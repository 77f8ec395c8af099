#include "citronwick/fleet/place_exchange.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after which an unanswered request is given up, and the place returned in case it was lent.
constexpr duration pending_lifetime = 1s;

std::uint32_t to_uint32_ms(duration value) {
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

place_exchange::loan::loan(std::uint64_t to, const wire::place_request& request,
                           std::shared_ptr<upstream_load> load, time_point now)
    : borrower{to}, nonce{request.nonce}, until{now + std::chrono::milliseconds{request.lifetime}},
      place{std::move(load)} {}

place_exchange::place_exchange(lendable places, sender send, std::uint32_t first_nonce)
    : places_{std::move(places)}, send_{std::move(send)}, next_nonce_{first_nonce} {}

void place_exchange::request(std::uint64_t lender, std::uint32_t upstream, duration lifetime,
                             reply_callback reply, time_point now) {
    const std::uint32_t nonce = next_nonce_++;
    pending_[nonce] = {lender, std::move(reply), now};
    wire::gossip message;
    message.place_requests.push_back({upstream, nonce, to_uint32_ms(lifetime)});
    send_(message, lender, now);
}

void place_exchange::give_back(std::uint64_t lender, std::uint32_t nonce, time_point now) {
    wire::gossip message;
    message.returned_places.push_back(nonce);
    send_(message, lender, now);
}

bool place_exchange::lend(std::uint64_t borrower, const wire::place_request& asked, time_point now) {
    const auto places = places_(asked.upstream);
    if (!places) {
        return false;
    }
    const loan& added = loans_.emplace_back(borrower, asked, places->load, now);
    const bool is_free = added.place.taken_then() <= places->own;
    if (!is_free) {
        loans_.pop_back();
    }
    return is_free;
}

void place_exchange::handle_message(std::uint64_t from, const wire::gossip& message, time_point now) {
    for (const std::uint32_t nonce : message.returned_places) {
        loans_.remove_if([&](const loan& each) { return each.borrower == from && each.nonce == nonce; });
    }
    wire::gossip replies;
    for (const wire::place_request& each : message.place_requests) {
        replies.place_replies.push_back({each.nonce, lend(from, each, now)});
    }
    if (!replies.place_replies.empty()) {
        send_(replies, from, now);
    }
    for (const wire::place_reply& each : message.place_replies) {
        if (auto found = pending_.extract(each.nonce)) {
            found.mapped().reply(each.granted ? std::optional{each.nonce} : std::nullopt);
        } else if (each.granted) {
            give_back(from, each.nonce, now);
        }
    }
}

void place_exchange::tick(time_point now) {
    loans_.remove_if([now](const loan& each) { return now >= each.until; });
    std::erase_if(pending_, [&](const auto& each) {
        const bool is_given_up = now - each.second.sent_at >= pending_lifetime;
        if (is_given_up) {
            give_back(each.second.lender, each.first, now);
        }
        return is_given_up;
    });
}

} // namespace citronwick
