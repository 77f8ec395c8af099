#ifndef CITRONWICK_FLEET_LOAD_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_FLEET_LOAD_EXCHANGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/work_ledger.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

struct upstream_work;

/// What this router tells of its work on upstreams, and learns of the others'.
/// It sends nothing itself.
class load_exchange {
public:
    using works = std::map<std::uint32_t, std::shared_ptr<upstream_work>>;

    /// @param self hash of this router's name
    /// @param domain hash of its failure domain's name
    /// @param shown counts that placement reads, by the short hash of the upstream
    load_exchange(std::uint64_t self, std::uint64_t domain, std::function<const works&()> shown);

    /// How much this router's work differs from what the others were told.
    enum class change : std::uint8_t { none, some, urgent };
    change own_change() const;

    /// All of this router's work.
    std::vector<wire::work_entry> own() const;

    /// All of this router's work, which the others know from now on.
    std::vector<wire::work_entry> tell();

    /// Takes in what another router has.
    void hear(std::uint64_t router, const std::vector<wire::work_entry>& work, time_point now);
    void forget(std::uint64_t router, time_point now);
    bool knows(std::uint64_t router) const { return ledger_.knows(router); }

    /// A keeper's messages: one for the keepers of the other failure domains,
    /// one for the routers of its own.
    struct tables {
        wire::gossip of_domain;
        wire::gossip of_fleet;
    };

    /// Makes this router's tables as a keeper.
    /// @param routers of its failure domain without itself
    /// @return none while the last ones are not old enough
    std::optional<tables> make_tables(const std::vector<std::uint64_t>& routers, time_point now);

    /// Takes in a message that holds a keeper's table.
    /// @return whether it is a new one of the fleet, to be passed on
    bool take_table(const wire::gossip& message, time_point now);

private:
    work_table own_work() const;
    void publish(time_point now);

    std::uint64_t self_;
    std::uint64_t domain_;
    std::function<const works&()> shown_;
    work_ledger ledger_;
    work_table told_; ///< own work as the others know it
    std::uint32_t tables_made_ = 0;
    time_point made_at_;
    time_point published_at_;
    std::map<std::uint64_t, std::uint32_t> newest_table_; ///< number by keeper
};

} // namespace citronwick

#endif
