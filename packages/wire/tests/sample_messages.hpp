#ifndef CITRONWICK_WIRE_TESTS_SAMPLE_MESSAGES_HPP_INCLUDED
#define CITRONWICK_WIRE_TESTS_SAMPLE_MESSAGES_HPP_INCLUDED

#include "citronwick/wire/change_pack.hpp"
#include "citronwick/wire/envelope.hpp"

#include <string>
#include <vector>

/// The messages whose recordings are in `recorded_messages.hpp`. All numbers differ, so that no field
/// can be taken for another one.
namespace citronwick::samples {

inline const std::string key = "key of the recorded messages";
inline const wire::header header{
    .sender = 0x0102030405060708, .incarnation = 0x1112131415161718, .sequence = 0x21222324};

/// All lists that the landing fdbcbaf knows.
inline wire::gossip gossip() {
    wire::gossip message;
    message.members = {{.vm = "entry-a1",
                        .region = "kr-south",
                        .failure_domain = "busan-a",
                        .fleet_address = "10.1.2.3:7070",
                        .incarnation = 10'001,
                        .leaving = true}};
    message.usage = {{.upstream = 10'002, .in_flight = 10'003}};
    message.counts = {{.upstream = 10'004, .in_flight = 10'005}};
    message.slot_requests = {{.upstream = 10'006, .in_flight = 10'007, .limit = 10'008, .nonce = 10'009}};
    message.slot_replies = {{.upstream = 10'010, .in_flight = 10'011, .nonce = 10'012, .granted = true}};
    message.reports = {{.upstream = 10'013, .in_flight = 10'014, .age = 10'015, .reachable = false}};
    message.leaving = {{.upstream = 10'016, .incarnation = 10'017}};
    message.documents = {{.kind = wire::document_kind::vm_list, .generation = 10'018}};
    message.suspects = {{.fingerprint = 10'019, .crash = 10'020, .age = 10'021}};
    message.load = {{.upstream = 10'022, .in_flight = 10'023, .backlog = 10'024}};
    message.store_positions = {{.revision = 10'025, .store_reachable = false}};
    message.load_table_ids = {
        {.aggregator = 10'026, .number = 10'027, .domain = 10'028, .list_number = 10'029}};
    message.load_table_upstreams = {10'030, 10'031};
    message.load_table = {{.in_flight = 132, .backlog = 133}, {.in_flight = 134, .backlog = 135}};
    message.changes = "packed changes";
    message.watcher_positions = {{.revision = 10'036, .watcher = 10'037, .lapse_ms = 10'038}};
    message.freshness_queries = {{.asked_at = 10'039, .revision = 10'040, .to_coordinator = true}};
    message.freshness_answers = {{.asked_at = 10'041, .age = 10'042, .revision = 10'043}};
    message.outcomes = {{.upstream = 10'044, .successes = 145, .failures = 146}};
    message.prefixes = {{.prefix = 10'047, .upstream = 10'048}};
    message.limits = {
        {.upstream = 10'049, .per_second = 10'050.5F, .named_age = 10'051, .unlimited_age = 10'052}};
    message.list_ids = {{.coordinator = 10'053, .number = 10'054}};
    message.permit_requests = {{.upstream = 10'055, .nonce = 10'056, .saving = 10'057}};
    message.permit_replies = {
        {.nonce = 10'058, .wait = 10'059, .granted = true, .price = 10'060, .full_in = 10'061}};
    message.rejected_permits = {{.upstream = 10'062, .count = 163}};
    message.given_permits = {{.upstream = 10'064, .count = 165}};
    message.store_era = {10'066};
    message.served_spans = {{.length = 10'067, .end_age = 10'068}};
    message.list_incarnations = {10'069};
    message.suspect_digest = {10'070, 10'071};
    message.stream_queries = {10'072};
    message.stream_versions = {{.key = 10'073, .version = 10'074}};
    message.place_requests = {{.upstream = 10'075, .nonce = 10'076, .lifetime = 10'077}};
    message.place_replies = {{.nonce = 10'078, .granted = true}};
    message.returned_places = {10'079};
    return message;
}

inline wire::document_request document_request() {
    return {.kind = wire::document_kind::vm_list, .digests = {"digest-1", "digest-2"}};
}

inline wire::document_response document_response() {
    return {.kind = wire::document_kind::vm_list,
            .generation = 10'080,
            .header = "header",
            .contents = {"chunk-1", "chunk-2"}};
}

inline wire::claim_query claim_query() {
    return {.claim = "claims/1", .fingerprint = "fingerprint"};
}

inline wire::claim_answer claim_answer() {
    return {.state = wire::claim_state::answered,
            .status = 10'081,
            .content_type = "text/plain",
            .body = "answer"};
}

inline wire::tunnel_request tunnel_request() {
    return {.upstream = "10.1.2.4:8080",
            .timeout = 10'082,
            .receiver = 10'083,
            .receiver_incarnation = 10'084,
            .nonce = 10'085};
}

inline wire::tunnel_reply tunnel_reply() {
    return {.nonce = 10'086, .result = wire::tunnel_result::not_reached};
}

inline std::vector<wire::change_entry> changes() {
    return {{.key = "key-1", .value = "value-1", .is_removal = false, .previous = 10'087, .revision = 10'088},
            {.key = "key-2", .value = "", .is_removal = true, .previous = 10'089, .revision = 10'090}};
}

} // namespace citronwick::samples

#endif
