#ifndef CITRONWICK_WIRE_MESSAGES_HPP_INCLUDED
#define CITRONWICK_WIRE_MESSAGES_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

/// Messages between routers. Lists and texts carry 16-bit lengths, which keeps
/// datagrams small and bounds what a decoder allocates.
namespace citronwick::wire {

/// What a router says of itself or of another router.
struct member_record {
    std::string vm;
    std::string region;
    std::string failure_domain;
    std::string fleet_address; ///< "ip:port" of the fleet channel, UDP and TCP alike
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/// Requests that the sender has in flight on one upstream, for the router that
/// keeps that upstream's count.
struct usage_entry {
    std::uint32_t upstream = 0; ///< short hash of the upstream's name
    std::uint16_t in_flight = 0;
};

/// Question to the keeper of an upstream's count whether one more request fits.
struct slot_request {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0; ///< the sender's requests, with the one in question
    std::uint16_t limit = 0;     ///< requests that the upstream may hold, from all routers
    std::uint16_t nonce = 0;     ///< repeated in the reply
};

/// Answer to `slot_request`.
struct slot_reply {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0; ///< requests of the other routers
    std::uint16_t nonce = 0;
    bool granted = false;
};

/// Requests of all routers on one upstream, by the router that keeps the count.
struct count_entry {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0;
};

/// Load and reachability of one upstream as a prober last saw it.
struct report_entry {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0;
    std::uint16_t age = 0; ///< milliseconds since the observation
    bool reachable = true;
};

/// Mark that an incarnation of an upstream takes no new work; never withdrawn.
struct leaving_entry {
    std::uint32_t upstream = 0;
    std::uint64_t incarnation = 0;
};

/// Kinds of documents that spread from router to router.
enum class document_kind : std::uint8_t { configuration = 0, vm_list = 1 };

/// Newest generation of a document that the sender holds.
struct document_version {
    document_kind kind = document_kind::configuration;
    std::uint64_t generation = 0;
};

/// Request that was on an upstream when it crashed.
struct suspect_entry {
    std::uint64_t fingerprint = 0; ///< hash of team and body
    std::uint32_t crash = 0;       ///< names the crash; 0 tells that the request was served
};

/// Work that the sender has on one upstream.
struct work_entry {
    std::uint32_t upstream = 0;
    std::uint16_t in_flight = 0;
    std::uint16_t backlog = 0; ///< prompt tokens not yet read, in units of `backlog_unit`
};

/// Prompt tokens that `work_entry::backlog` counts as one.
constexpr std::uint32_t backlog_unit = 64;

/// Names the table of work that a message holds: all of a failure domain's, or
/// of the whole fleet's.
struct table_origin {
    std::uint64_t keeper = 0; ///< hash of the router that made it
    std::uint32_t number = 0; ///< grows with each table of that keeper
    std::uint64_t domain = 0; ///< hash of the failure domain's name, 0 for the whole fleet
};

/// How far the sender has followed the platform's store. A message that holds
/// one also holds all of the sender's work.
struct store_position {
    std::int64_t revision = 0;
    bool has_store = true; ///< the store answers the sender
};

/// One change in the platform's store, as the router that watches it saw it.
struct change_entry {
    std::string key;
    std::string value; ///< empty for a removal
    bool is_removal = false;
    std::int64_t previous = 0; ///< revision of the change before
    std::int64_t revision = 0;
};

/// How far a router that watches the store has followed it.
struct news_entry {
    std::int64_t revision = 0;
    std::uint64_t watcher = 0; ///< hash of that router's name
};

/// Question how fresh the receiver's configuration is.
struct freshness_question {
    std::int64_t asked_at = 0; ///< on the asker's clock, repeated in the answer
};

/// Answer to `freshness_question`.
struct freshness_answer {
    std::int64_t asked_at = 0;
    std::uint32_t age = 0; ///< milliseconds since the store confirmed the configuration
    std::int64_t revision = 0;
};

/// Answers of one upstream that the sender saw since its last message.
struct evidence_entry {
    std::uint32_t upstream = 0;
    std::uint8_t good = 0;
    std::uint8_t bad = 0;
};

/// Beginning of a prompt that an upstream now holds.
struct prefix_entry {
    std::uint32_t prefix = 0;
    std::uint32_t upstream = 0;
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
    std::vector<work_entry> work;
    std::vector<store_position> positions;
    std::vector<table_origin> tables; ///< at most one
    std::vector<work_entry> table_work;
    std::string changes; ///< of the store, as `pack_changes` writes them
    std::vector<news_entry> news;
    std::vector<freshness_question> questions;
    std::vector<freshness_answer> answers;
    std::vector<evidence_entry> evidence;
    std::vector<prefix_entry> prefixes;
};

/// Request for a document over TCP: its header, and chunks by their digests.
struct document_request {
    document_kind kind = document_kind::configuration;
    std::vector<std::string> wanted;
};

/// Answer to `document_request`; generation 0 where the peer holds none.
struct document_response {
    document_kind kind = document_kind::configuration;
    std::uint64_t generation = 0;
    std::string header;
    std::vector<std::string> contents; ///< of the wanted chunks that the peer holds
};

/// What became of a claimed request, as its claimant knows it.
enum class claim_state : std::uint8_t { unknown = 0, in_progress = 1, answered = 2 };

/// Question to the claimant of a request that must run at most once.
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

} // namespace citronwick::wire

#endif
