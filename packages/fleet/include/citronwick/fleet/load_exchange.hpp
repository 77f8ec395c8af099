#ifndef CITRONWICK_FLEET_LOAD_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_LOAD_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/load_aggregator.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

struct upstream_load;

/// What this router tells of its work on upstreams, and learns of the others'.
/// It sends nothing itself.
class load_exchange {
public:
    using load_map = std::map<std::uint32_t, std::shared_ptr<upstream_load>>;

    /// @param self hash of this router's name
    /// @param domain hash of its failure domain's name
    /// @param shown counts that placement reads, by the short hash of the upstream
    load_exchange(std::uint64_t self, std::uint64_t domain, std::function<const load_map&()> tracked_loads);

    /// How much this router's work differs from what the others were told.
    enum class change : std::uint8_t { none, some, urgent };
    change local_change() const;

    /// All of this router's work.
    std::vector<wire::work_entry> local_load() const;

    /// All of this router's work, which the others know from now on.
    std::vector<wire::work_entry> report_local_load();

    /// Takes in what another router has.
    void merge_report(std::uint64_t router, const std::vector<wire::work_entry>& work, time_point now);
    void remove_router(std::uint64_t router, time_point now);
    bool has_report_of(std::uint64_t router) const { return aggregator_.contains(router); }

    /// A keeper's messages: one for the keepers of the other failure domains,
    /// one for the routers of its own.
    struct table_messages {
        wire::gossip domain;
        wire::gossip fleet;
    };

    /// Makes this router's tables as a keeper.
    /// @param routers of its failure domain without itself
    /// @return none while the last ones are not old enough
    std::optional<table_messages> build_tables(const std::vector<std::uint64_t>& routers, time_point now);

    /// Takes in a message that holds a keeper's table.
    /// @return whether it is a new one of the fleet, to be passed on
    bool merge_table(const wire::gossip& message, time_point now);

private:
    load_table local_table() const;
    void update_remote_loads(time_point now);

    std::uint64_t self_;
    std::uint64_t domain_;
    std::function<const load_map&()> tracked_loads_;
    load_aggregator aggregator_;
    load_table reported_; ///< own work as the others know it
    std::uint32_t table_number_ = 0;
    time_point tables_built_at_;
    time_point averaged_at_;
    std::map<std::uint64_t, std::uint32_t> newest_table_; ///< number by keeper
};

} // namespace citronwick

#endif
