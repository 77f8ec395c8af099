#include "citronwick/control/claim_registry.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"

#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

/// The last 1/20 of a lease's time to live is not used, to allow for clock drift between
/// this VM and the key-value service.
constexpr int clock_drift_divisor = 20;

/// Value stored under a claim's key.
struct claim_value {
    std::string owner;
    std::string address; ///< fleet address of the owner
    std::string attempt; ///< unique to one attempt; tells whether a write without response succeeded
    std::string fingerprint;
    bool released = false; ///< whether the request reached no upstream and may be claimed again
};

std::string to_json(const claim_value& value) {
    return boost::json::serialize(boost::json::object{{"owner", value.owner},
                                                      {"address", value.address},
                                                      {"attempt", value.attempt},
                                                      {"fingerprint", value.fingerprint},
                                                      {"state", value.released ? "released" : "claimed"}});
}

claim_value parse_claim(const std::string& json) {
    const auto object = parse_json_object(json).value_or(boost::json::object{});
    return {string_member(object, "owner"), string_member(object, "address"),
            string_member(object, "attempt"), string_member(object, "fingerprint"),
            string_member(object, "state") == "released"};
}

claim_result refused(std::string detail) {
    return {.verdict = claim_verdict::refused, .detail = std::move(detail)};
}

/// Largest response body that is sent to another router.
constexpr std::size_t max_forwarded_response_bytes = 60'000;

claim_result unknown(std::string detail) {
    return {.verdict = claim_verdict::unknown, .detail = std::move(detail)};
}

} // namespace

claim_registry::claim_registry(kv_client& service, std::string prefix, std::string owner,
                               std::chrono::seconds lifetime, claimant_query query_claimant)
    : service_{service}, prefix_{std::move(prefix)}, owner_{std::move(owner)}, lifetime_{lifetime},
      query_claimant_{std::move(query_claimant)} {}

wire::claim_answer claim_registry::answer(const wire::claim_query& query) const {
    const auto found = local_claims_.find(query.claim);
    if (found == local_claims_.end() || found->second.fingerprint != query.fingerprint) {
        return {};
    }
    const local_claim& held = found->second;
    if (held.verdict == claim_verdict::in_progress) {
        return {.state = wire::claim_state::in_progress};
    }
    if (held.verdict != claim_verdict::answered ||
        held.response->body.size() > max_forwarded_response_bytes) {
        return {};
    }
    return {wire::claim_state::answered, static_cast<std::uint16_t>(held.response->status),
            held.response->content_type, held.response->body};
}

/// Determines the verdict for a request that was claimed before.
task<claim_result> claim_registry::resolve_existing_claim(kv_entry existing, std::string name,
                                                          std::string fingerprint) {
    const claim_value held = parse_claim(existing.value);
    if (held.fingerprint != fingerprint) {
        co_return claim_result{.verdict = claim_verdict::mismatch};
    }
    const auto claimant = parse_endpoint(held.address);
    if (!claimant || held.owner == owner_) {
        co_return unknown("claimed by " + held.owner);
    }
    wire::claim_query query{std::move(name), std::move(fingerprint)};
    auto reply = co_await query_claimant_(*claimant, std::move(query));
    if (reply.has_error()) {
        co_return unknown("claimed by " + held.owner + ", which does not answer: " + to_text(reply.error()));
    }
    if (reply->state == wire::claim_state::in_progress) {
        co_return claim_result{.verdict = claim_verdict::in_progress};
    }
    if (reply->state != wire::claim_state::answered) {
        co_return unknown("claimed by " + held.owner);
    }
    auto response =
        std::make_shared<const recorded_response>(reply->status, reply->content_type, reply->body);
    co_return claim_result{.verdict = claim_verdict::answered, .response = std::move(response)};
}

std::string claim_registry::claim_name(const std::string& service, const std::string& key) const {
    return prefix_ + "/claims/" + service + "/" + sha256_hex(key);
}

task<claim_result> claim_registry::claim(std::string service, std::string key, std::string fingerprint,
                                         time_point now) {
    const std::string name = claim_name(service, key);
    const auto known = local_claims_.find(name);
    if (known != local_claims_.end()) {
        const local_claim& held = known->second;
        if (held.fingerprint != fingerprint) {
            co_return claim_result{.verdict = claim_verdict::mismatch};
        }
        co_return claim_result{.verdict = held.verdict, .response = held.response};
    }
    local_claims_.emplace(name, local_claim{.fingerprint = fingerprint, .updated_at = now});
    std::string attempt = random_id();
    auto result = co_await create(name, std::move(fingerprint), std::move(attempt), now);
    if (result.verdict != claim_verdict::granted) {
        local_claims_.erase(name);
    }
    co_return result;
}

task<io_result<claim_registry::lease_bucket>> claim_registry::current_lease(time_point now) {
    if (lease_ && now < lease_->renewal) {
        co_return *lease_;
    }
    auto lease = co_await service_.grant_lease(2 * lifetime_);
    if (lease.has_error()) {
        co_return lease.error();
    }
    const auto time_to_live = duration{lease->time_to_live};
    lease_ = lease_bucket{lease->id, now + time_to_live / 2,
                          now + time_to_live - time_to_live / clock_drift_divisor};
    co_return *lease_;
}

/// Writes a claim. If the outcome of the write is unknown, reads the claim back.
task<io_result<swap_outcome>> claim_registry::write_claim(std::string name, std::int64_t expected,
                                                          std::string value, std::int64_t lease) {
    auto swapped = co_await service_.compare_and_swap(name, expected, value, lease);
    if (swapped.has_value()) {
        co_return *swapped;
    }
    lease_.reset();
    const failure error = swapped.error();
    if (!error.may_have_taken_effect) {
        co_return error;
    }
    log_failure("claim_write_unanswered", error);
    auto current = co_await service_.read(name);
    if (current.has_error()) {
        co_return error;
    }
    swap_outcome outcome{.current = *current};
    outcome.succeeded = outcome.current && outcome.current->value == value;
    outcome.revision = outcome.succeeded ? outcome.current->mod_revision : 0;
    if (!outcome.current) {
        // The write may still take effect, so an absent claim does not mean that it failed.
        co_return error;
    }
    co_return outcome;
}

claim_result claim_registry::granted(const std::string& name, std::int64_t mod_revision,
                                     time_point valid_until) {
    local_claims_[name].mod_revision = mod_revision;
    return {.verdict = claim_verdict::granted, .valid_until = valid_until};
}

task<claim_result> claim_registry::create(std::string name, std::string fingerprint, std::string attempt,
                                          time_point now) {
    auto lease = co_await current_lease(now);
    if (lease.has_error()) {
        co_return refused(to_text(lease.error()));
    }
    const std::string value = to_json(claim_value{owner_, address_, attempt, fingerprint});
    auto written = co_await write_claim(name, 0, value, lease->id);
    if (written.has_error()) {
        co_return refused(to_text(written.error()));
    }
    if (written->succeeded) {
        co_return granted(name, written->revision, lease->expiry);
    }
    if (!written->current) {
        co_return refused("the claim vanished while it was made");
    }
    const kv_entry existing = *written->current;
    const claim_value held = parse_claim(existing.value);
    if (!held.released || held.fingerprint != fingerprint) {
        co_return co_await resolve_existing_claim(existing, name, fingerprint);
    }
    auto taken_over = co_await write_claim(name, existing.mod_revision, value, lease->id);
    if (taken_over.has_error()) {
        co_return refused(to_text(taken_over.error()));
    }
    if (taken_over->succeeded) {
        co_return granted(name, taken_over->revision, lease->expiry);
    }
    if (!taken_over->current) {
        co_return refused("the claim vanished while it was made");
    }
    co_return co_await resolve_existing_claim(*taken_over->current, name, fingerprint);
}

void claim_registry::record_response(const std::string& service, const std::string& key,
                                     std::shared_ptr<const recorded_response> response, time_point now) {
    const auto found = local_claims_.find(claim_name(service, key));
    if (found != local_claims_.end()) {
        found->second.verdict = claim_verdict::answered;
        found->second.response = std::move(response);
        found->second.updated_at = now;
    }
}

void claim_registry::record_unknown(const std::string& service, const std::string& key) {
    const auto found = local_claims_.find(claim_name(service, key));
    if (found != local_claims_.end()) {
        found->second.verdict = claim_verdict::unknown;
    }
}

task<void> claim_registry::release(std::string service, std::string key) {
    const std::string name = claim_name(service, key);
    const auto found = local_claims_.find(name);
    if (found == local_claims_.end()) {
        co_return;
    }
    const local_claim held = found->second;
    const std::string value = to_json(claim_value{owner_, address_, random_id(), held.fingerprint, true});
    const std::int64_t lease = lease_ ? lease_->id : 0;
    auto released = co_await service_.compare_and_swap(name, held.mod_revision, value, lease);
    if (released.has_error()) {
        log_failure("claim_not_released", released.error());
        record_unknown(service, key);
        co_return;
    }
    local_claims_.erase(name);
}

void claim_registry::expire(time_point now) {
    std::erase_if(local_claims_, [&](const auto& each) {
        const bool ended = each.second.verdict != claim_verdict::in_progress;
        return ended && now - each.second.updated_at >= lifetime_;
    });
}

} // namespace citronwick
