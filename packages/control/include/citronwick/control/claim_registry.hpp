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

/// Response of an upstream to a claimed request, replayed when the request is resent.
struct recorded_response {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// Outcome of an attempt to claim a request.
enum class claim_verdict : std::uint8_t {
    granted,     ///< the caller has the exclusive right to send the request, once
    answered,    ///< the request was completed before; its response is known
    in_progress, ///< the request is running now
    unknown,     ///< the request was claimed before and its outcome is unknown
    mismatch,    ///< the key was used with a different request
    refused      ///< the claim could not be created; nothing was sent
};

/// Verdict on a claim, with its details.
struct claim_result {
    claim_verdict verdict = claim_verdict::refused;
    std::shared_ptr<const recorded_response> response{}; ///< for `answered`
    std::string detail{};                                ///< for `refused` and `unknown`
    time_point valid_until{}; ///< for `granted`: the request may only be sent before this time
};

/// Claims that enforce at-most-once execution of requests.
///
/// Before a request is sent, its claim is created in the key-value service by a
/// compare-and-swap that succeeds only if the key is absent. Only the router that
/// created the claim may send the request. Claims of the same period share a lease.
class claim_registry {
public:
    /// Queries another router for the state of a request that it claimed.
    using claimant_query = std::function<task<io_result<wire::claim_answer>>(endpoint, wire::claim_query)>;

    /// @param owner this router's name and incarnation
    /// @param lifetime minimum retention of a claim
    claim_registry(kv_client& service, std::string prefix, std::string owner, std::chrono::seconds lifetime,
                   claimant_query query_claimant);

    /// Sets the fleet address to which other routers send queries about this router's claims.
    void set_address(std::string address) { address_ = std::move(address); }

    /// Answers another router's query about a claim of this router.
    wire::claim_answer answer(const wire::claim_query& query) const;

    /// Claims the right to send a request.
    /// @param key of the operation, unique within the service
    /// @param fingerprint digest of the request's team, method, path and body
    task<claim_result> claim(std::string service, std::string key, std::string fingerprint, time_point now);

    /// Records the response to a request whose claim was granted.
    void record_response(const std::string& service, const std::string& key,
                         std::shared_ptr<const recorded_response> response, time_point now);

    /// Releases a claim whose request is known to have reached no upstream, so that
    /// the request can be claimed again.
    task<void> release(std::string service, std::string key);

    /// Records that a request whose claim was granted ended with unknown outcome.
    void record_unknown(const std::string& service, const std::string& key);

    /// Removes finished claims that are older than the lifetime from memory.
    void expire(time_point now);

    /// @return bytes exchanged with the key-value service since the last call
    std::uint64_t take_byte_count() { return service_.take_byte_count(); }

private:
    struct local_claim {
        claim_verdict verdict = claim_verdict::in_progress; ///< returned when the request is resent
        std::string fingerprint;
        std::int64_t mod_revision = 0;
        time_point updated_at;
        std::shared_ptr<const recorded_response> response{};
    };

    struct lease_bucket {
        std::int64_t id = 0;
        time_point renewal; ///< from this time on, new claims use a new lease
        time_point expiry;  ///< from this time on, claims under the lease may be deleted
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
