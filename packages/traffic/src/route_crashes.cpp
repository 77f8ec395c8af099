// Refuses requests that crash upstreams, and gathers the evidence.

#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/fleet/crash_detector.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/io/log.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"

#include <algorithm>
#include <iterator>

namespace citronwick {

namespace {

/// Upstream crashes after which a request is refused. One more than for chats,
/// since a connection may break for other reasons shortly before an upstream ends.
constexpr std::uint8_t crash_limit = suspect_table::crash_limit + 1;

} // namespace

/// Refuses requests that crash upstreams, by themselves or by a part of their prompt.
std::optional<problem> route_exchange::check_crashes(time_point now) const {
    const suspect_registry& suspects = context_.plane.suspects();
    const auto result = state_.may_have_run_before ? outcome::unknown : outcome::not_run;
    if (suspects.crashes(fingerprint_, now) >= crash_limit) {
        return problem{422, "crashes-upstreams", "upstreams crashed each time that this request ran", result};
    }
    if (const auto part = suspects.refused_part(part_fingerprints_, crash_limit, now)) {
        return problem{422, "prompt-part-crashes-upstreams",
                       "upstreams crashed each time that a prompt with the part " + std::to_string(*part) +
                           " ran",
                       result};
    }
    return std::nullopt;
}

/// Logs what is known about a request that is sent although it is a suspect, or holds one
/// that no answer has cleared.
void route_exchange::log_suspicions(time_point now) const {
    std::vector<std::uint64_t> suspects{fingerprint_};
    std::ranges::copy(part_fingerprints_, std::back_inserter(suspects));
    for (const std::uint64_t suspect : suspects) {
        const auto known = context_.plane.suspects().suspicion_of(suspect, now);
        if (known.crashes > 0 && !known.was_served) {
            log_info("suspect_sent", {{"request", caller_.request_id()},
                                      {"upstream", placement_->upstream.entry.id},
                                      {"fingerprint", std::to_string(suspect)},
                                      {"crashes", std::to_string(known.crashes)},
                                      {"separate", std::to_string(known.separate_crashes)}});
        }
    }
}

void route_exchange::record_served(time_point now) {
    suspect_registry& suspects = context_.plane.suspects();
    suspects.record_served(fingerprint_, now);
    std::ranges::for_each(part_fingerprints_, [&](std::uint64_t part) {
        suspects.record_served_part(part, attempt_sent_at_, now);
    });
}

/// Reports what may have crashed the upstream: the request, and unless its response
/// had begun, each part of its prompt with which no request was served lately.
void route_exchange::report_broken_connection(time_point now) {
    std::vector<crash_suspect> suspects{{fingerprint_, crash_suspect::kind::request}};
    if (!state_.response_started) {
        for (const std::uint64_t part : part_fingerprints_) {
            if (!context_.plane.suspects().was_served_recently(part, now)) {
                suspects.push_back({part, crash_suspect::kind::prompt_part});
            }
        }
    }
    context_.plane.report_broken_connection(std::move(suspects), placement_->upstream.hash);
    context_.probe.start(context_.pool.executor(), placement_->upstream);
}

} // namespace citronwick
