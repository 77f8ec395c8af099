#ifndef CITRONWICK_WIRE_SERIALIZATION_HPP_INCLUDED
#define CITRONWICK_WIRE_SERIALIZATION_HPP_INCLUDED

#include "citronwick/wire/messages.hpp"

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <limits>

/// cereal functions of the fleet's messages.
namespace citronwick::wire {

/// List or text with a 16-bit length in place of cereal's 64-bit one.
template <class Container>
struct compact {
    Container& items;
};

template <class Container>
compact(Container&) -> compact<Container>;

template <class Archive, class Container>
void save(Archive& archive, const compact<Container>& list) {
    constexpr std::size_t most = std::numeric_limits<std::uint16_t>::max();
    const auto count = static_cast<std::uint16_t>(std::min(list.items.size(), most));
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
    const auto each = [&archive](auto& list) {
        compact wrapped{list};
        archive(wrapped);
    };
    (each(lists), ...);
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
    archive(entry.fingerprint, entry.crash);
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
void serialize(Archive& archive, work_entry& entry) {
    archive(entry.upstream, entry.in_flight, entry.backlog);
}

template <class Archive>
void serialize(Archive& archive, table_origin& origin) {
    archive(origin.keeper, origin.number, origin.domain);
}

template <class Archive>
void serialize(Archive& archive, store_position& position) {
    archive(position.revision, position.has_store);
}

template <class Archive>
void serialize(Archive& archive, news_entry& entry) {
    archive(entry.revision, entry.watcher);
}

template <class Archive>
void serialize(Archive& archive, change_entry& entry) {
    // Values may be longer than what a compact length can tell.
    archive(entry.key, entry.value, entry.is_removal, entry.previous, entry.revision);
}

template <class Archive>
void serialize(Archive& archive, freshness_question& question) {
    archive(question.asked_at);
}

template <class Archive>
void serialize(Archive& archive, freshness_answer& answer) {
    archive(answer.asked_at, answer.age, answer.revision);
}

template <class Archive>
void serialize(Archive& archive, evidence_entry& entry) {
    archive(entry.upstream, entry.good, entry.bad);
}

template <class Archive>
void serialize(Archive& archive, prefix_entry& entry) {
    archive(entry.prefix, entry.upstream);
}

/// Writes or reads the lists that are not empty, after a bit for each list.
template <class Archive, class... Lists>
void serialize_present(Archive& archive, Lists&... lists) {
    std::uint32_t present = 0;
    int bit = 0;
    if constexpr (Archive::is_saving::value) {
        ((present = present | (lists.empty() ? 0U : 1U << bit), ++bit), ...);
    }
    archive(present);
    bit = 0;
    const auto each = [&](auto& list) {
        if ((present & (1U << bit++)) != 0) {
            serialize_lists(archive, list);
        }
    };
    (each(lists), ...);
}

template <class Archive>
void serialize(Archive& archive, gossip& message) {
    serialize_present(archive, message.members, message.usage, message.counts, message.slot_requests,
                      message.slot_replies, message.reports, message.leaving, message.documents,
                      message.suspects, message.work, message.positions, message.questions, message.answers,
                      message.evidence, message.prefixes, message.changes, message.news, message.tables,
                      message.table_work);
}

template <class Archive>
void serialize(Archive& archive, document_request& request) {
    archive(request.kind);
    serialize_lists(archive, request.wanted);
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

} // namespace citronwick::wire

#endif
