#ifndef CITRONWICK_WIRE_MESSAGES_HPP_INCLUDED
#define CITRONWICK_WIRE_MESSAGES_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Messages between routers. Most lists and strings carry 16-bit lengths, which
/// keeps datagrams small and bounds what a decoder allocates.
namespace citronwick::wire {

/// Membership record of a router, sent by itself or by another router.
struct member_record {
    std::string vm;
    std::string region;
    std::string failure_domain;
    std::string fleet_address; ///< "ip:port" of the fleet channel, both UDP and TCP
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/// Requests that the sender has in flight on one upstream, reported to the
/// owner of that upstream's count.
struct usage_entry {
    std::uint32_t upstream = 0; ///< short hash of the upstream's name
    std::uint16_t in_flight = 0;
};

/// Asks the owner of an upstream's count to admit one more request.
struct slot_request {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0; ///< the sender's requests, including the new one
    std::uint16_t limit = 0;     ///< maximum number of requests on the upstream, from all routers
    std::uint16_t nonce = 0;     ///< echoed in the reply
};

/// Reply to `slot_request`.
struct slot_reply {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0; ///< requests of routers other than the receiver
    std::uint16_t nonce = 0;
    bool granted = false;
};

/// Requests of all routers on one upstream, published by the owner of its count.
struct count_entry {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0;
};

/// Load and reachability of one upstream, as last observed by a health probe.
struct report_entry {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0;
    std::uint16_t age = 0; ///< milliseconds since the observation
    bool reachable = true;
};

/// States that an incarnation of an upstream accepts no new requests. Permanent
/// for that incarnation.
struct leaving_entry {
    std::uint32_t upstream = 0;
    std::uint64_t incarnation = 0;
};

/// Kinds of documents that routers distribute among themselves.
enum class document_kind : std::uint8_t { configuration = 0, vm_list = 1 };

/// Newest generation of a document that the sender holds.
struct document_version {
    document_kind kind = document_kind::configuration;
    std::uint64_t generation = 0;
};

/// Request or prompt part that was on an upstream when it crashed.
struct suspect_entry {
    std::uint64_t fingerprint = 0;
    std::uint32_t crash = 0; ///< identifies the crash; 0 states that the suspect was served
    std::uint16_t age = 0;   ///< time since then, in units of `crash_age_unit`
};

constexpr std::chrono::milliseconds crash_age_unit{20};

/// Load that the sender has on one upstream.
struct load_entry {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0;
    std::uint16_t backlog = 0; ///< prompt tokens not yet processed, in units of `backlog_unit_tokens`
};

/// Prompt tokens in one unit of `load_entry::backlog`.
constexpr std::uint32_t backlog_unit_tokens = 64;

/// Identifies the load table in a message, which covers one failure domain or
/// the whole fleet.
struct load_table_id {
    std::uint64_t aggregator = 0;  ///< hash of the name of the router that built the table
    std::uint32_t number = 0;      ///< increases with each table of that aggregator
    std::uint64_t domain = 0;      ///< hash of the failure domain's name, 0 for the whole fleet
    std::uint32_t list_number = 0; ///< number of the table that lists the upstreams of this one
};

/// Load of one upstream in a load table, which saturates at the largest values.
struct load_count {
    std::uint8_t in_flight = 0;
    std::uint8_t backlog = 0; ///< prompt tokens not yet processed, in units of `count_unit_tokens`
};

/// Prompt tokens in one unit of `load_count::backlog`.
constexpr std::int32_t count_unit_tokens = 256;

/// Revision up to which the sender has applied the changes in the platform's
/// store. A message that holds one also holds all of the sender's load.
struct store_position {
    std::int64_t revision = 0;
    bool store_reachable = true; ///< from the sender
};

/// One change in the platform's store, as received by the router that watches it.
struct change_entry {
    std::string key;
    std::string value; ///< empty for a removal
    bool is_removal = false;
    std::int64_t previous = 0; ///< revision of the preceding change
    std::int64_t revision = 0;
};

/// Revision up to which a router that watches the store has received its changes.
struct watcher_position {
    std::int64_t revision = 0;
    std::uint64_t watcher = 0;  ///< hash of the watching router's name; 0 if not to be relayed
    std::uint16_t lapse_ms = 0; ///< time for which missing entries may have lapsed in an outage
};

/// Asks for the age of the receiver's configuration, and for the changes that the
/// querying router has missed.
struct freshness_query {
    std::int64_t asked_at = 0;   ///< on the querying router's clock, echoed in the answer
    std::int64_t revision = 0;   ///< up to which the querying router has followed the store
    bool to_coordinator = false; ///< whether the querying router takes the receiver for its coordinator
};

/// Answer to `freshness_query`.
struct freshness_answer {
    std::int64_t asked_at = 0;
    std::uint32_t age = 0; ///< milliseconds since the store last confirmed the configuration
    std::int64_t revision = 0;
};

/// Outcomes of requests to one upstream that the sender has not reported yet.
struct outcome_entry {
    std::uint32_t upstream = 0;
    std::uint8_t successes = 0;
    std::uint8_t failures = 0;
};

/// Prompt prefix that is now in an upstream's cache.
struct prefix_entry {
    std::uint32_t prefix = 0;
    std::uint32_t upstream = 0;
};

/// Rate limit of one upstream, or that it is brittle. Without a `list_id` in the message, these are
/// the sender's own observations.
struct limit_entry {
    std::uint32_t upstream = 0;
    /// Requests that it takes from all routers together. If negative, it is brittle and bears
    /// -1 - `per_second` refusals a second; routers that do not know this ignore the entry.
    float per_second = 0.0F;
    std::uint16_t named_age = 0; ///< milliseconds since a response named the limit
    /// Milliseconds since a request was sent whose response named none; `no_age` for never.
    std::uint16_t unlimited_age = 0;
};

constexpr std::uint16_t no_age = 65'535;

/// Identifies a list of limits or suspects that a coordinator distributes in its failure domain.
struct list_id {
    std::uint64_t coordinator = 0; ///< hash of its name
    std::uint32_t number = 0;      ///< increases with each list; 0 in lists for other coordinators
};

/// Asks the permit coordinator to admit one request to a rate-limited upstream.
struct permit_request {
    std::uint32_t upstream = 0;
    std::uint16_t nonce = 0; ///< echoed in the reply
    /// Milliseconds that this upstream saves compared with the best one without a limit;
    /// `no_alternative` if there is none.
    std::uint16_t saving = 0;
};

constexpr std::uint16_t no_alternative = 65'535;

/// Reply to `permit_request`.
struct permit_reply {
    std::uint16_t nonce = 0;
    std::uint16_t wait = 0; ///< milliseconds after which to ask again, if not granted
    bool granted = false;
    std::uint16_t price = 0;   ///< milliseconds that a request must save to get a permit after that
    std::uint16_t full_in = 0; ///< milliseconds until the price has fallen to 0
};

/// Number of permits for one upstream.
struct permit_count {
    std::uint32_t upstream = 0;
    std::uint8_t count = 0;
};

/// Time in which the store served the fleet without a longer pause.
struct served_span {
    std::uint32_t length = 0;  ///< milliseconds
    std::uint16_t end_age = 0; ///< milliseconds since the latest service known
};

/// Software version at which the sender saw a stream begin.
struct stream_version {
    std::uint64_t key = 0;     ///< identifies the stream
    std::uint32_t version = 0; ///< short hash of its name
};

/// How a version of a service numbers the events of its streams.
struct stream_numbering {
    std::uint32_t version = 0; ///< short hash of its name
    std::uint16_t age = 0;     ///< seconds since a stream showed it
    bool has_gaps = false;     ///< its numbers are not consecutive
};

/// Asks for a place of the receiver on a brittle upstream, for one request.
struct place_request {
    std::uint32_t upstream = 0;
    std::uint32_t nonce = 0;    ///< names the loan
    std::uint32_t lifetime = 0; ///< milliseconds after which the request has ended in any case
};

/// Reply to `place_request`.
struct place_reply {
    std::uint32_t nonce = 0;
    bool granted = false;
};

/// One datagram of the fleet channel.
struct gossip {
    std::vector<member_record> members;
    std::vector<usage_entry> usage;
    std::vector<count_entry> counts;
    std::vector<slot_request> slot_requests;
    std::vector<slot_reply> slot_replies;
    std::vector<report_entry> reports;
    std::vector<leaving_entry> leaving;
    std::vector<document_version> documents;
    std::vector<suspect_entry> suspects;
    std::vector<load_entry> load;
    std::vector<store_position> store_positions;
    std::vector<load_table_id> load_table_ids; ///< at most one
    /// Upstreams of the load table; empty if an earlier table has listed them.
    std::vector<std::uint32_t> load_table_upstreams;
    std::vector<load_count> load_table; ///< in the order of the listed upstreams
    std::string changes;                ///< of the store, as written by `pack_changes`
    std::vector<watcher_position> watcher_positions;
    std::vector<freshness_query> freshness_queries;
    std::vector<freshness_answer> freshness_answers;
    std::vector<outcome_entry> outcomes;
    std::vector<prefix_entry> prefixes;
    std::vector<limit_entry> limits;
    std::vector<list_id> list_ids; ///< of the limits or suspects, at most one
    std::vector<permit_request> permit_requests;
    std::vector<permit_reply> permit_replies;
    std::vector<permit_count> rejected_permits; ///< by the sending coordinator, since its last message
    std::vector<permit_count> given_permits;    ///< to the receiving coordinator
    /// Era of all revisions in this message, at most one; empty if the store names none.
    std::vector<std::uint32_t> store_era;
    std::vector<served_span> served_spans; ///< as the sender knows, at most one
    /// Incarnation of the router that numbered the load table or the list, in 32 bits; at
    /// most one.
    std::vector<std::uint32_t> list_incarnations;
    /// Hash of each group of suspects that the sender knows. A receiver whose hashes
    /// differ sends what it knows of those groups.
    std::vector<std::uint16_t> suspect_digest;
    std::vector<std::uint64_t> stream_queries; ///< streams whose version the sender asks for
    std::vector<stream_version> stream_versions;
    std::vector<place_request> place_requests;
    std::vector<place_reply> place_replies;
    std::vector<std::uint32_t> returned_places; ///< nonces of loans that the sender no longer needs
    /// Streams of `stream_queries` that the sender does not remember.
    std::vector<std::uint64_t> unseen_streams;
    std::vector<stream_numbering> stream_numberings;
};

/// Incarnation that numbered the load table or list in a message, 0 if unknown.
inline std::uint32_t list_incarnation_of(const gossip& message) {
    return message.list_incarnations.empty() ? 0 : message.list_incarnations.front();
}

/// Era of the revisions in a message, 0 if the store names none.
inline std::uint64_t era_of(const gossip& message) {
    return message.store_era.empty() ? 0 : message.store_era.front();
}

/// Request over TCP for the header of a document and for some of its chunks.
struct document_request {
    document_kind kind = document_kind::configuration;
    std::vector<std::string> digests; ///< of the requested chunks
};

/// Response to `document_request`; generation 0 if the peer has no such document.
struct document_response {
    document_kind kind = document_kind::configuration;
    std::uint64_t generation = 0;
    std::string header;
    std::vector<std::string> contents; ///< of the requested chunks that the peer has
};

/// State of a claimed request, as known to its claimant.
enum class claim_state : std::uint8_t { unknown = 0, in_progress = 1, answered = 2 };

/// Asks the claimant of a request that must run at most once for its state.
struct claim_query {
    std::string claim;       ///< key of the claim in the key-value service
    std::string fingerprint; ///< digest of the request
};

/// Answer to `claim_query`.
struct claim_answer {
    claim_state state = claim_state::unknown;
    std::uint16_t status = 0;
    std::string content_type;
    std::string body; ///< at most 65,535 bytes
};

/// Asks a router over TCP to connect to an upstream and to relay the bytes of the connection.
struct tunnel_request {
    std::string upstream;                   ///< "ip:port"
    std::uint16_t timeout = 0;              ///< milliseconds for the connect
    std::uint64_t receiver = 0;             ///< hash of the receiving router's name
    std::uint64_t receiver_incarnation = 0; ///< as the sender knows it
    std::uint64_t nonce = 0;                ///< echoed in the reply
};

/// Result of a `tunnel_request`.
enum class tunnel_result : std::uint8_t {
    connected = 0,
    refused = 1,     ///< by the upstream, while the router that was asked reaches others
    not_reached = 2, ///< the router that was asked timed out or was reset, or does not reach others either
    not_allowed = 3, ///< the address is no upstream's, or the request is not valid
    unavailable = 4, ///< the router that was asked is cut, too, or stops
};

/// Reply to `tunnel_request`. The bytes of the connection follow if it is connected.
struct tunnel_reply {
    std::uint64_t nonce = 0;
    tunnel_result result = tunnel_result::unavailable;
};

} // namespace citronwick::wire

#endif
