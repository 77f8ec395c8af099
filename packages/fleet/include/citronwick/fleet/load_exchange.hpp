#ifndef CITRONWICK_FLEET_LOAD_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_LOAD_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/load_totals.hpp"
#include "citronwick/fleet/message_number.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citronwick {

struct upstream_load;

/// Builds this router's load reports and merges those of the other routers.
/// Sending the messages is left to the caller.
///
/// The tables of an aggregator list their upstreams only now and then; the tables
/// in between hold the counts alone, in the same order. They are thereby small
/// enough to be sent several times a second.
class load_exchange {
public:
    using load_map = std::map<std::uint32_t, std::shared_ptr<upstream_load>>;

    /// @param self hash of this router's name
    /// @param domain hash of its failure domain's name
    /// @param tracked_loads counters that placement reads, by the short hash of the upstream
    load_exchange(std::uint64_t self, std::uint64_t domain, std::function<const load_map&()> tracked_loads);

    /// Sets this router's incarnation, which its tables name.
    /// @param incarnation in 32 bits, see `shorten_sequence_number`
    void set_incarnation(std::uint32_t incarnation) { incarnation_ = incarnation; }

    /// How much this router's load differs from what it last reported.
    enum class change : std::uint8_t { none, minor, urgent };
    change local_change() const;

    /// The load of this router on all upstreams.
    std::vector<wire::load_entry> local_load() const;

    /// As `local_load`, and records it as reported to the other routers.
    std::vector<wire::load_entry> report_local_load();

    /// Replaces the load of another router by what it reported.
    void merge_report(std::uint64_t router, const std::vector<wire::load_entry>& entries, time_point now);
    void remove_router(std::uint64_t router, time_point now);
    bool has_report_of(std::uint64_t router) const { return totals_.contains(router); }

    /// Messages of a load aggregator.
    struct table_messages {
        wire::gossip domain; ///< load of its failure domain, for the aggregators of the others
        wire::gossip fleet;  ///< load of the whole fleet, for the routers of its failure domain
    };

    /// Builds this router's tables in its role as load aggregator.
    /// @param routers the other routers of its failure domain
    /// @return none if the previous tables were built too recently
    std::optional<table_messages> build_tables(const std::vector<std::uint64_t>& routers, time_point now);

    /// Merges a message that holds an aggregator's table.
    /// @return whether it is a new fleet table, which is to be relayed
    bool merge_table(const wire::gossip& message, time_point now);

private:
    /// Upstreams of an aggregator's tables.
    struct upstream_list {
        message_number number; ///< of the table that listed them
        std::vector<std::uint32_t> upstreams;
    };
    /// Aggregator, and hash of the failure domain's name or 0 for the whole fleet.
    using table_kind = std::pair<std::uint64_t, std::uint64_t>;

    load_table local_table() const;
    wire::gossip table_message(const load_table& table, std::uint64_t domain) const;
    std::optional<load_table> read_table(const wire::gossip& message);
    void update_remote_loads(time_point now);

    std::uint64_t self_;
    std::uint64_t domain_;
    std::uint32_t incarnation_ = 0;
    std::function<const load_map&()> tracked_loads_;
    load_totals totals_;
    load_table reported_; ///< local load as last reported
    std::uint32_t table_number_ = 0;
    upstream_list own_list_; ///< of this router's tables as aggregator
    std::map<table_kind, upstream_list> lists_;
    time_point upstreams_listed_at_;
    time_point tables_built_at_;
    std::map<std::uint64_t, message_number> newest_table_; ///< by aggregator
};

} // namespace citronwick

#endif
