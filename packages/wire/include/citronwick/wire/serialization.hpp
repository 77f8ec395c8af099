#ifndef CITRONWICK_WIRE_SERIALIZATION_HPP_INCLUDED
#define CITRONWICK_WIRE_SERIALIZATION_HPP_INCLUDED

#include "citronwick/wire/messages.hpp"

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <limits>

/// cereal serialization of the messages between routers.
namespace citronwick::wire {

/// Wraps a list or string to serialize it with a 16-bit length in place of
/// cereal's 64-bit one.
template <class Container>
struct compact {
    Container& items;
};

template <class Container>
compact(Container&) -> compact<Container>;

template <class Archive, class Container>
void save(Archive& archive, const compact<Container>& list) {
    constexpr std::size_t max_count = std::numeric_limits<std::uint16_t>::max();
    const auto count = static_cast<std::uint16_t>(std::min(list.items.size(), max_count));
    archive(count);
    std::for_each_n(list.items.begin(), count, [&archive](auto& item) {
        if constexpr (std::is_same_v<std::decay_t<decltype(item)>, std::string>) {
            archive(compact{item});
        } else {
            archive(item);
        }
    });
}

template <class Archive, class Container>
void load(Archive& archive, compact<Container>& list) {
    std::uint16_t count = 0;
    archive(count);
    list.items.clear();
    for (std::uint16_t index = 0; index < count; ++index) {
        typename Container::value_type item{};
        if constexpr (std::is_same_v<typename Container::value_type, std::string>) {
            compact<std::string> text{item};
            archive(text);
        } else {
            archive(item);
        }
        list.items.push_back(std::move(item));
    }
}

template <class Archive, class... Lists>
void serialize_lists(Archive& archive, Lists&... lists) {
    const auto serialize_list = [&archive](auto& list) {
        compact wrapped{list};
        archive(wrapped);
    };
    (serialize_list(lists), ...);
}

template <class Archive>
void serialize(Archive& archive, member_record& record) {
    serialize_lists(archive, record.vm, record.region, record.failure_domain, record.fleet_address);
    archive(record.incarnation, record.leaving);
}

template <class Archive>
void serialize(Archive& archive, usage_entry& entry) {
    archive(entry.upstream, entry.in_flight);
}

template <class Archive>
void serialize(Archive& archive, report_entry& entry) {
    archive(entry.upstream, entry.in_flight, entry.age, entry.reachable);
}

template <class Archive>
void serialize(Archive& archive, leaving_entry& entry) {
    archive(entry.upstream, entry.incarnation);
}

template <class Archive>
void serialize(Archive& archive, document_version& version) {
    archive(version.kind, version.generation);
}

template <class Archive>
void serialize(Archive& archive, suspect_entry& entry) {
    archive(entry.fingerprint, entry.crash, entry.age);
}

template <class Archive>
void serialize(Archive& archive, slot_request& request) {
    archive(request.upstream, request.in_flight, request.limit, request.nonce);
}

template <class Archive>
void serialize(Archive& archive, slot_reply& reply) {
    archive(reply.upstream, reply.in_flight, reply.nonce, reply.granted);
}

template <class Archive>
void serialize(Archive& archive, count_entry& entry) {
    archive(entry.upstream, entry.in_flight);
}

template <class Archive>
void serialize(Archive& archive, load_entry& entry) {
    archive(entry.upstream, entry.in_flight, entry.backlog);
}

template <class Archive>
void serialize(Archive& archive, load_table_id& id) {
    archive(id.aggregator, id.number, id.domain, id.list_number);
}

template <class Archive>
void serialize(Archive& archive, load_count& count) {
    archive(count.in_flight, count.backlog);
}

template <class Archive>
void serialize(Archive& archive, store_position& position) {
    archive(position.revision, position.store_reachable);
}

template <class Archive>
void serialize(Archive& archive, watcher_position& position) {
    archive(position.revision, position.watcher, position.lapse_ms);
}

template <class Archive>
void serialize(Archive& archive, change_entry& entry) {
    // Values may exceed the range of a 16-bit length.
    archive(entry.key, entry.value, entry.is_removal, entry.previous, entry.revision);
}

template <class Archive>
void serialize(Archive& archive, freshness_query& query) {
    archive(query.asked_at, query.revision, query.to_coordinator);
}

template <class Archive>
void serialize(Archive& archive, freshness_answer& answer) {
    archive(answer.asked_at, answer.age, answer.revision);
}

template <class Archive>
void serialize(Archive& archive, outcome_entry& entry) {
    archive(entry.upstream, entry.successes, entry.failures);
}

template <class Archive>
void serialize(Archive& archive, prefix_entry& entry) {
    archive(entry.prefix, entry.upstream);
}

template <class Archive>
void serialize(Archive& archive, limit_entry& entry) {
    archive(entry.upstream, entry.per_second, entry.named_age, entry.unlimited_age);
}

template <class Archive>
void serialize(Archive& archive, list_id& id) {
    archive(id.coordinator, id.number);
}

template <class Archive>
void serialize(Archive& archive, permit_request& request) {
    archive(request.upstream, request.nonce, request.saving);
}

template <class Archive>
void serialize(Archive& archive, permit_reply& reply) {
    archive(reply.nonce, reply.wait, reply.granted, reply.price, reply.full_in);
}

template <class Archive>
void serialize(Archive& archive, permit_count& entry) {
    archive(entry.upstream, entry.count);
}

template <class Archive>
void serialize(Archive& archive, served_span& span) {
    archive(span.length, span.end_age);
}

template <class Archive>
void serialize(Archive& archive, stream_version& entry) {
    archive(entry.key, entry.version);
}

template <class Archive>
void serialize(Archive& archive, place_request& request) {
    archive(request.upstream, request.nonce, request.lifetime);
}

template <class Archive>
void serialize(Archive& archive, place_reply& reply) {
    archive(reply.nonce, reply.granted);
}

template <class Archive>
void serialize(Archive& archive, stream_numbering& entry) {
    archive(entry.version, entry.age, entry.has_gaps);
}

/// Serializes only the lists that are not empty, preceded by a bit mask of them.
template <class Archive, class... Lists>
void serialize_present(Archive& archive, Lists&... lists) {
    std::uint32_t present = 0;
    int bit = 0;
    if constexpr (Archive::is_saving::value) {
        ((present = present | (lists.empty() ? 0U : 1U << bit), ++bit), ...);
    }
    archive(present);
    bit = 0;
    const auto serialize_if_present = [&](auto& list) {
        if ((present & (1U << bit++)) != 0) {
            serialize_lists(archive, list);
        }
    };
    (serialize_if_present(lists), ...);
}

template <class Archive>
void serialize(Archive& archive, gossip& message) {
    serialize_present(archive, message.members, message.usage, message.counts, message.slot_requests,
                      message.slot_replies, message.reports, message.leaving, message.documents,
                      message.suspects, message.load, message.store_positions, message.freshness_queries,
                      message.freshness_answers, message.outcomes, message.prefixes, message.changes,
                      message.watcher_positions, message.load_table_ids, message.load_table_upstreams,
                      message.load_table, message.limits, message.list_ids, message.permit_requests,
                      message.permit_replies, message.rejected_permits, message.given_permits,
                      message.store_era, message.served_spans, message.list_incarnations,
                      message.suspect_digest, message.stream_queries, message.stream_versions);
}

/// Serializes the lists for which the bit mask of `serialize` has no room. They follow the message;
/// routers that do not know them do not read on.
template <class Archive>
void serialize_more_lists(Archive& archive, gossip& message) {
    serialize_present(archive, message.place_requests, message.place_replies, message.returned_places,
                      message.unseen_streams, message.stream_numberings);
}

inline bool has_more_lists(const gossip& message) {
    return !message.place_requests.empty() || !message.place_replies.empty() ||
           !message.returned_places.empty() || !message.unseen_streams.empty() ||
           !message.stream_numberings.empty();
}

template <class Archive>
void serialize(Archive& archive, document_request& request) {
    archive(request.kind);
    serialize_lists(archive, request.digests);
}

template <class Archive>
void serialize(Archive& archive, document_response& response) {
    archive(response.kind, response.generation);
    serialize_lists(archive, response.header, response.contents);
}

template <class Archive>
void serialize(Archive& archive, claim_query& query) {
    serialize_lists(archive, query.claim, query.fingerprint);
}

template <class Archive>
void serialize(Archive& archive, claim_answer& answer) {
    archive(answer.state, answer.status);
    serialize_lists(archive, answer.content_type, answer.body);
}

template <class Archive>
void serialize(Archive& archive, tunnel_request& request) {
    serialize_lists(archive, request.upstream);
    archive(request.timeout, request.receiver, request.receiver_incarnation, request.nonce);
}

template <class Archive>
void serialize(Archive& archive, tunnel_reply& reply) {
    archive(reply.nonce, reply.result);
}

} // namespace citronwick::wire

#endif
