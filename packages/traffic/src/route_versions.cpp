// Keeps each resumable stream at the software version that began it.

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/version_slots.hpp"
#include "reply_waiter.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Longest wait for a router that saw the stream begin.
constexpr duration reply_timeout = 80ms;
/// Longest wait for the store.
constexpr duration confirmation_timeout = 200ms;
constexpr std::chrono::milliseconds assignment_pause{300};

} // namespace

/// Whether the caller takes up a stream of which it has received events.
bool route_exchange::takes_up_stream() const {
    return route_->kind == request_kind::resumable_stream && !traits_.last_event_id.empty();
}

/// The attempt that brought the first event of the stream, empty if the caller does not name it.
std::string_view route_exchange::stream_origin() const {
    return takes_up_stream() ? std::string_view{traits_.resumes} : caller_.request_id();
}

/// Restricts the attempt to upstreams of the stream's version, or prepares its refusal.
task<void> route_exchange::choose_version() {
    if (route_->kind != request_kind::resumable_stream) {
        co_return;
    }
    if (state_.response_started) {
        // Chosen by the attempt whose events were relayed.
        refuse_if_version_is_gone();
        co_return;
    }
    if (!context_.plane.keys_are_fresh(boot_now())) {
        refusal_before_send_ = problem{503, "versions-not-confirmed",
                                       "the assignment of streams to versions could not be confirmed lately",
                                       outcome::not_run, assignment_pause};
        co_return;
    }
    stream_identity stream{.attempt = hash64(caller_.request_id()), .has_events = takes_up_stream()};
    if (takes_up_stream() && !traits_.resumes.empty()) {
        stream.origin = hash64(traits_.resumes);
        stream.remembered = follow(context_.plane.streams().version_of(stream_key(), clock::now()));
    }
    const auto decision = co_await decide_version_of(stream);
    log_version(decision);
    if (decision.next != version_decision::step::use) {
        refuse_stream(decision, stream.has_events);
        co_return;
    }
    placement_request_.version = decision.version;
    refuse_if_version_is_gone();
}

/// Decides with what this router knows, then with what the others and the store say.
task<version_decision> route_exchange::decide_version_of(stream_identity stream) {
    using step = version_decision::step;
    const auto arrived = boot_now();
    auto decision = decide_version(slots_of_service(), slot_knowledge_of_service(), stream);
    if (decision.next == step::ask_routers) {
        const auto answer = co_await ask_routers();
        stream.remembered = answer ? follow(*answer) : std::nullopt;
        stream.others = answer ? stream_identity::answers::all_unseen : stream_identity::answers::incomplete;
        decision = decide_version(slots_of_service(), slot_knowledge_of_service(), stream);
    }
    if (decision.next == step::confirm) {
        stream.is_confirmed = co_await confirm_slots(arrived);
        decision = decide_version(slots_of_service(), slot_knowledge_of_service(), stream);
    }
    co_return decision;
}

/// Identifies the stream among those of all teams.
std::uint64_t route_exchange::stream_key() const {
    return begun_streams::key(team_ == nullptr ? std::string_view{} : team_->name, stream_origin());
}

/// Versions to which the streams of the service are assigned, null if they are not yet.
const version_slots* route_exchange::slots_of_service() const {
    const auto found = view_->stream_versions.find(service_->name);
    return found == view_->stream_versions.end() ? nullptr : found->second.get();
}

slot_knowledge route_exchange::slot_knowledge_of_service() const {
    const auto now = clock::now();
    const auto unproven = view_->unproven_versions.find(service_->name);
    return {.may_be_of_copy = unproven != view_->unproven_versions.end() && now < unproven->second,
            .is_service_sure =
                route_->services.size() == 1 || now - view_->config_changed_at >= begun_streams::lifetime};
}

/// Service and version at which another router saw the stream begin, see `begun_streams::version_hash`.
/// @return no answer if not all routers replied in time; no version if none remembers the stream
task<std::optional<std::optional<std::uint32_t>>> route_exchange::ask_routers() {
    using version = std::optional<std::uint32_t>;
    std::function<void(std::function<void(version)>)> ask =
        [this, key = stream_key()](std::function<void(version)> reply) {
            context_.plane.ask_stream_version(key, std::move(reply));
        };
    const auto answer = co_await wait_for_reply<version>(reply_timeout, std::move(ask));
    // The wait may have been long enough for the upstreams to change.
    view_ = context_.plane.view();
    co_return answer;
}

/// Whether the store confirms that the slots known here are its own.
task<bool> route_exchange::confirm_slots(boot_time since) {
    std::function<void(std::function<void(bool)>)> ask = [this, since](std::function<void(bool)> reply) {
        context_.plane.request_confirmation(since, std::move(reply));
    };
    const auto confirmed = co_await wait_for_reply<bool>(confirmation_timeout, std::move(ask));
    view_ = context_.plane.view();
    co_return confirmed.value_or(false);
}

/// Chooses the service at which the stream was seen, whatever the weights of the route are now.
/// @return name of the version; one that no upstream of the route has any more gets its hash as its name
std::optional<std::string> route_exchange::follow(std::optional<std::uint32_t> version) {
    if (!version) {
        return std::nullopt;
    }
    for (const weighted_service& each : route_->services) {
        const auto* const service = config_->find_service(each.service);
        const auto found = view_->upstreams.find(each.service);
        if (service == nullptr || found == view_->upstreams.end()) {
            continue;
        }
        const auto upstream = std::ranges::find_if(found->second, [&](const routed_upstream& candidate) {
            return begun_streams::version_hash(each.service, candidate.entry.version) == *version;
        });
        if (upstream != found->second.end()) {
            service_ = service;
            placement_request_.service = service;
            return upstream->entry.version;
        }
    }
    return "hash " + std::to_string(*version);
}

/// Refuses a stream whose version no upstream serves. What its caller has received
/// cannot be continued, so there is no time after which it should ask again.
void route_exchange::refuse_if_version_is_gone() {
    const auto found = view_->upstreams.find(service_->name);
    const bool is_served = found != view_->upstreams.end() &&
                           std::ranges::any_of(found->second, [this](const routed_upstream& each) {
                               return each.entry.version == *placement_request_.version;
                           });
    if (!is_served) {
        const std::string detail = "no upstream serves version " + *placement_request_.version;
        refuse_stream({version_decision::step::refuse, {}, detail},
                      takes_up_stream() || state_.response_started);
    }
}

/// @param has_events whether the caller has received events of it
void route_exchange::refuse_stream(const version_decision& decision, bool has_events) {
    std::string detail{decision.reason};
    if (!has_events) {
        refusal_before_send_ =
            problem{503, "no-upstream", std::move(detail), outcome::not_run, assignment_pause};
    } else if (decision.next == version_decision::step::refuse) {
        refusal_before_send_ = problem{503, "stream-not-resumable", std::move(detail), outcome::not_run};
    } else {
        refusal_before_send_ =
            problem{503, "versions-not-confirmed", std::move(detail), outcome::not_run, assignment_pause};
    }
}

/// Remembers at which version the stream goes on, for callers that take it up at any router.
void route_exchange::record_stream() {
    if (route_->kind == request_kind::resumable_stream && !stream_origin().empty()) {
        const std::uint32_t version =
            begun_streams::version_hash(service_->name, placement_->upstream.entry.version);
        context_.plane.streams().record(stream_key(), version, clock::now());
    }
}

/// Logs where a stream that is taken up goes on, or why it does not.
void route_exchange::log_version(const version_decision& decision) const {
    if (takes_up_stream()) {
        const bool is_used = decision.next == version_decision::step::use;
        log_info("stream_taken_up", {{"request", caller_.request_id()},
                                     {"service", service_->name},
                                     {"stream", traits_.resumes.empty() ? "-" : traits_.resumes},
                                     {"last_event", traits_.last_event_id},
                                     {"version", is_used ? decision.version : "-"},
                                     {"reason", std::string{decision.reason}},
                                     {"position", to_text(view_->position)}});
    }
}

} // namespace citronwick
