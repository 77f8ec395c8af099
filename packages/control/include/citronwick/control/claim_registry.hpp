#ifndef CITRONWICK_CONTROL_CLAIM_REGISTRY_HPP_INCLUDED
#define CITRONWICK_CONTROL_CLAIM_REGISTRY_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/kv_client.hpp"
#include "citronwick/wire/messages.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronwick {

/// Answer of an upstream to a claimed request, kept for resends.
struct recorded_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// What a request may do after it asked for a claim.
enum class claim_verdict : std::uint8_t {
    granted,     ///< the caller alone may send the request, once
    answered,    ///< it ran before; the answer is known
    in_progress, ///< it is running now
    unknown,     ///< it was claimed before and its outcome is not known here
    mismatch,    ///< the key was used with another request
    refused      ///< no claim could be made; nothing was sent
};

/// Verdict with what belongs to it.
struct claim_result {
    claim_verdict verdict = claim_verdict::refused;
    std::shared_ptr<const recorded_answer> answer{}; ///< for `answered`
    std::string detail{};                            ///< for `refused` and `unknown`
    time_point valid_until{}; ///< for `granted`: sending is allowed before this instant
};

/// Claims on requests that must run at most once.
///
/// A claim is created in the key-value service by compare-and-swap on absence
/// before the request is sent, under a lease shared by the claims of a time
/// bucket. Whoever creates it sends the request; nobody else ever does.
class claim_registry {
public:
    /// Asks another router what became of a request that it claimed.
    using claimant_query = std::function<task<io_result<wire::claim_answer>>(endpoint, wire::claim_query)>;

    /// @param owner this router's name and incarnation
    /// @param lifetime for which a claim is remembered at least
    claim_registry(kv_client& service, std::string prefix, std::string owner, std::chrono::seconds lifetime,
                   claimant_query query_claimant);

    /// Sets the fleet address at which other routers ask about this router's claims.
    void set_address(std::string address) { address_ = std::move(address); }

    /// Answers another router's question about a claim of this router.
    wire::claim_answer answer(const wire::claim_query& query) const;

    /// Asks for the right to send a request.
    /// @param key of the operation, unique within the service
    /// @param fingerprint of the request's team, method, path and body
    task<claim_result> claim(std::string service, std::string key, std::string fingerprint, time_point now);

    /// Records the answer of a request that was granted.
    void record_answer(const std::string& service, const std::string& key,
                       std::shared_ptr<const recorded_answer> answer, time_point now);

    /// Gives up a claim whose request certainly reached no upstream, so that a
    /// resend may run.
    task<void> release(std::string service, std::string key);

    /// Notes that a granted request ended without a known outcome.
    void record_unknown(const std::string& service, const std::string& key);

    /// Drops answers that are older than the lifetime.
    void expire(time_point now);

    std::uint64_t take_byte_count() { return service_.take_byte_count(); }

private:
    struct local_claim {
        claim_verdict verdict = claim_verdict::in_progress; ///< for a resend
        std::string fingerprint;
        std::int64_t mod_revision = 0;
        time_point updated_at;
        std::shared_ptr<const recorded_answer> answer{};
    };

    struct lease_bucket {
        std::int64_t id = 0;
        time_point renewal; ///< a new lease is taken from here on
        time_point expiry;  ///< claims under the lease may vanish from here on
    };

    task<io_result<lease_bucket>> current_lease(time_point now);
    task<claim_result> create(std::string name, std::string fingerprint, std::string attempt, time_point now);
    task<io_result<swap_outcome>> write_claim(std::string name, std::int64_t expected, std::string value,
                                              std::int64_t lease);
    task<claim_result> resolve_existing_claim(kv_entry existing, std::string name, std::string fingerprint);
    claim_result granted(const std::string& name, std::int64_t mod_revision, time_point valid_until);
    std::string claim_name(const std::string& service, const std::string& key) const;

    kv_client& service_;
    std::string prefix_;
    std::string owner_;
    std::string address_;
    std::chrono::seconds lifetime_;
    claimant_query query_claimant_;
    std::map<std::string, local_claim> local_claims_;
    std::optional<lease_bucket> lease_;
};

} // namespace citronwick

#endif
