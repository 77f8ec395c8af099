#include "citronwick/traffic/admission.hpp"

#include "await_on.hpp"
#include "citronwick/control/control_plane.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/metrics.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <stdexcept>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// A queued request retries placement at least this often, because this router
/// is not notified when requests of other routers end.
constexpr duration recheck_interval = 25ms;
/// Denied reservations after which a request is placed by the load estimate alone.
constexpr int max_denials = 3;
constexpr std::string_view all_full_reason = "all upstreams full";

problem refusal(std::string_view reason, bool waited) {
    if (reason == all_full_reason) {
        return {503, waited ? "queue-timeout" : "queue-full", std::string{reason}, outcome::not_run, 1s};
    }
    return {503, "no-upstream", std::string{reason}, outcome::not_run, 2s};
}

} // namespace

void throw_exception_from_error(const problem& error, const boost::source_location& /*location*/) {
    throw std::runtime_error(error.detail);
}

admission::admission(control_plane& control, metrics& counters) : control_{control}, counters_{counters} {
    const auto& registered = registry<placement_policy>::instance();
    for (const std::string& name : registered.names()) {
        policies_.emplace(name, registered.make(name));
    }
}

admission::~admission() = default;

void admission::log_decision(const admission_request& request, const std::vector<candidate>& candidates,
                             const placement_decision& decision) {
    std::string skipped;
    for (const skipped_candidate& each : decision.skipped) {
        skipped += skipped.empty() ? "" : ",";
        skipped += std::string{candidates[each.index].name} + ":" + std::string{each.reason};
    }
    const bool placed = decision.index.has_value();
    log_info("placement",
             {{"request", request.request_id},
              {"service", request.service},
              {"team", request.team},
              {"chat", request.chat_id},
              {"upstream", placed ? std::string{candidates[*decision.index].name} : "none"},
              {"reason", std::string{decision.reason}},
              {"in_flight", placed ? std::to_string(candidates[*decision.index].in_flight) : "-"},
              {"skipped", skipped.empty() ? "-" : skipped}});
}

/// Upstreams that the request may be placed on. A suspect request is confined to
/// the upstreams whose count this router owns, if one of them is ready: no other
/// router places its suspect requests there.
std::vector<candidate> admission::candidates_for(const admission_request& request,
                                                 const std::vector<upstream_view>& upstreams) {
    std::vector<candidate> candidates(upstreams.size());
    std::ranges::transform(upstreams, candidates.begin(), to_candidate);
    for (candidate& each : candidates) {
        if (std::ranges::find(request.excluded, each.hash) != request.excluded.end()) {
            each.state = availability::excluded;
        }
    }
    const auto owns_count = [&](const candidate& each) {
        return upstreams[&each - candidates.data()].owns_count;
    };
    const bool owns_any_count = std::ranges::any_of(candidates, [&](const candidate& each) {
        return each.state == availability::ready && owns_count(each);
    });
    if (request.is_suspect && owns_any_count) {
        for (candidate& each : candidates) {
            each.state = owns_count(each) ? each.state : availability::excluded;
        }
    }
    return candidates;
}

/// Reserves a slot at the router that owns the count of the upstream's requests.
/// Does nothing if that is this router or if the policy sets no limit.
/// @return false if the upstream is at its limit
task<bool> admission::reserve_slot(const upstream_view& upstream, const placement_decision& decision) {
    if (!decision.limit || upstream.owns_count) {
        co_return true;
    }
    auto reservation = control_.reserve_slot(upstream.hash, static_cast<std::uint32_t>(*decision.limit));
    auto reserved = await_on(control_.executor(), std::move(reservation));
    const auto reservation_result = co_await std::move(reserved);
    co_return reservation_result != slot_decision::denied;
}

task<admission::placement_attempt> admission::place(const admission_request& request) {
    const auto view = control_.view();
    const auto found = view->upstreams.find(request.service);
    if (found == view->upstreams.end() || !view->config) {
        co_return placement_attempt{std::nullopt, "no upstream listed"};
    }
    const auto& upstreams = found->second;
    const auto& policy = policies_.find(request.policy)->second;
    for (int denied = 0;; ++denied) {
        const auto candidates = candidates_for(request, upstreams);
        const auto decision =
            policy->place(request.placement, candidates, view->config->active, clock::now());
        if (!decision.index) {
            co_return placement_attempt{std::nullopt, decision.reason};
        }
        const upstream_view& chosen = upstreams[*decision.index];
        admitted_request admitted{chosen, usage_guard{chosen.usage}, decision.reason};
        bool reserved = denied >= max_denials;
        if (!reserved) {
            reserved = co_await reserve_slot(chosen, decision);
        }
        if (reserved) {
            log_decision(request, candidates, decision);
            counters_.count_placement(request.service, decision.reason);
            co_return placement_attempt{std::move(admitted), decision.reason};
        }
    }
}

/// Leaves the queue at the end of the wait, also if the coroutine is destroyed while it
/// waits: the queue must not keep the timer of an event loop that is gone.
class admission::queue_place {
public:
    queue_place(admission& owner, std::string service, fair_queue::ticket ticket)
        : owner_{owner}, service_{std::move(service)}, ticket_{ticket} {}
    queue_place(const queue_place&) = delete;
    queue_place& operator=(const queue_place&) = delete;
    ~queue_place() { owner_.leave_queue(service_, ticket_); }

private:
    admission& owner_;
    std::string service_;
    fair_queue::ticket ticket_;
};

task<boost::system::result<admitted_request, problem>> admission::admit(const admission_request& request) {
    const auto arrived_at = clock::now();
    const auto executor = co_await asio::this_coro::executor;
    std::string_view reason = all_full_reason;
    if (queue_is_empty(request.service)) {
        auto attempt = co_await place(request);
        if (attempt.admitted) {
            counters_.observe_queue_wait(request.service, duration::zero());
            co_return std::move(*attempt.admitted);
        }
        reason = attempt.reason;
    }
    const auto config = control_.view()->config;
    auto timer = std::make_shared<asio::steady_timer>(executor);
    const auto ticket = reason == all_full_reason && config
                            ? enqueue(request, config->active, arrived_at, {executor, timer})
                            : std::nullopt;
    if (!ticket) {
        co_return refusal(reason, false);
    }
    const queue_place place_in_queue{*this, request.service, *ticket};
    const auto deadline = arrived_at + config->active.queue_timeout;
    while (clock::now() < deadline && reason == all_full_reason) {
        timer->expires_after(recheck_interval);
        co_await timer->async_wait(use_tuple);
        if (!is_next(request.service, *ticket)) {
            continue;
        }
        auto attempt = co_await place(request);
        reason = attempt.reason;
        if (attempt.admitted) {
            counters_.observe_queue_wait(request.service, clock::now() - arrived_at);
            co_return std::move(*attempt.admitted);
        }
    }
    co_return refusal(reason, true);
}

std::optional<fair_queue::ticket> admission::enqueue(const admission_request& request, const preset& policy,
                                                     time_point now, waiter entry) {
    const std::scoped_lock lock{mutex_};
    service_queue& waiting = queues_[request.service];
    if (waiting.queue.size() >= policy.queue_length) {
        return std::nullopt;
    }
    const auto ticket = waiting.queue.push(request.team, request.team_weight, now + policy.queue_timeout);
    waiting.waiters.emplace(ticket, std::move(entry));
    return ticket;
}

bool admission::queue_is_empty(const std::string& service) {
    const std::scoped_lock lock{mutex_};
    const auto found = queues_.find(service);
    return found == queues_.end() || found->second.queue.size() == 0;
}

bool admission::is_next(const std::string& service, fair_queue::ticket ticket) {
    const std::scoped_lock lock{mutex_};
    return queues_[service].queue.front() == ticket;
}

void admission::leave_queue(const std::string& service, fair_queue::ticket ticket) {
    const std::scoped_lock lock{mutex_};
    service_queue& waiting = queues_[service];
    waiting.queue.remove(ticket);
    waiting.waiters.erase(ticket);
    wake_next(waiting);
}

void admission::request_ended(const std::string& service) {
    const std::scoped_lock lock{mutex_};
    const auto found = queues_.find(service);
    if (found != queues_.end()) {
        wake_next(found->second);
    }
}

void admission::wake_next(service_queue& waiting) {
    const auto first = waiting.queue.front();
    if (!first) {
        return;
    }
    const waiter& next = waiting.waiters.at(*first);
    asio::post(next.executor, [timer = next.timer] { timer->cancel(); });
}

} // namespace citronwick
