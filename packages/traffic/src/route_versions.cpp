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
    const auto found = view_->stream_versions.find(service_->name);
    const version_slots* const slots = found == view_->stream_versions.end() ? nullptr : found->second.get();
    stream_identity stream{.attempt = hash64(caller_.request_id()), .has_events = takes_up_stream()};
    if (takes_up_stream() && !traits_.resumes.empty()) {
        stream.origin = hash64(traits_.resumes);
        const std::uint64_t key = begun_streams::key(service_->name, traits_.resumes);
        stream.remembered = name_of_version(context_.plane.streams().version_of(key, clock::now()));
    }
    auto decision = decide_version(slots, stream);
    if (decision.next == version_decision::step::ask_routers) {
        stream.remembered = co_await ask_routers();
        decision = stream.remembered
                       ? version_decision{version_decision::step::use, *stream.remembered, "seen by a router"}
                       : version_decision{version_decision::step::refuse, {}, decision.reason};
    }
    log_version(decision);
    if (decision.next == version_decision::step::refuse) {
        refuse_stream(std::string{decision.reason}, stream.has_events);
        co_return;
    }
    placement_request_.version = decision.version;
    refuse_if_version_is_gone();
}

task<std::optional<std::string>> route_exchange::ask_routers() {
    const std::uint64_t key = begun_streams::key(service_->name, traits_.resumes);
    std::function<void(std::function<void(std::uint32_t)>)> ask =
        [this, key](std::function<void(std::uint32_t)> reply) {
            context_.plane.ask_stream_version(key, std::move(reply));
        };
    const auto version = co_await wait_for_reply<std::uint32_t>(reply_timeout, std::move(ask));
    // The wait may have been long enough for the upstreams to change.
    view_ = context_.plane.view();
    co_return name_of_version(version);
}

/// Name of a version known by its hash; one that no upstream has any more gets the hash as its name.
std::optional<std::string> route_exchange::name_of_version(std::optional<std::uint32_t> hash) const {
    if (!hash) {
        return std::nullopt;
    }
    if (const auto found = view_->upstreams.find(service_->name); found != view_->upstreams.end()) {
        const auto upstream = std::ranges::find_if(found->second, [hash](const routed_upstream& each) {
            return short_hash(hash64(each.entry.version)) == *hash;
        });
        if (upstream != found->second.end()) {
            return upstream->entry.version;
        }
    }
    return "hash " + std::to_string(*hash);
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
        refuse_stream("no upstream serves version " + *placement_request_.version,
                      takes_up_stream() || state_.response_started);
    }
}

void route_exchange::refuse_stream(std::string detail, bool has_events) {
    refusal_before_send_ =
        has_events ? problem{503, "stream-not-resumable", std::move(detail), outcome::not_run}
                   : problem{503, "no-upstream", std::move(detail), outcome::not_run, assignment_pause};
}

/// Remembers at which version the stream goes on, for callers that take it up at any router.
void route_exchange::record_stream() {
    if (route_->kind == request_kind::resumable_stream && !stream_origin().empty()) {
        context_.plane.streams().record(begun_streams::key(service_->name, stream_origin()),
                                        short_hash(hash64(placement_->upstream.entry.version)), clock::now());
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
