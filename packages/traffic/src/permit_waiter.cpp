#include "permit_waiter.hpp"

#include "citronwick/fleet/routing_plane.hpp"
#include "reply_waiter.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest wait for the reply of a coordinator or a lender.
constexpr duration reply_timeout = 60ms;

} // namespace

task<std::optional<permit_decision>> acquire_permit(routing_plane& plane, std::uint64_t upstream,
                                                    double saving_ms) {
    std::function<void(std::function<void(permit_decision)>)> ask =
        [&plane, upstream, saving_ms](std::function<void(permit_decision)> reply) {
            plane.request_permit(upstream, saving_ms, std::move(reply));
        };
    auto decision = co_await wait_for_reply<permit_decision>(reply_timeout, std::move(ask));
    co_return decision;
}

task<std::optional<std::shared_ptr<const borrowed_place>>>
acquire_place(routing_plane& plane, std::uint64_t lender, std::uint64_t upstream, duration lifetime) {
    using loan = std::shared_ptr<const borrowed_place>;
    std::function<void(std::function<void(loan)>)> ask = [&plane, lender, upstream,
                                                          lifetime](std::function<void(loan)> reply) {
        plane.borrow_place(lender, upstream, lifetime, std::move(reply));
    };
    auto reply = co_await wait_for_reply<loan>(reply_timeout, std::move(ask));
    co_return reply;
}

} // namespace citronwick
