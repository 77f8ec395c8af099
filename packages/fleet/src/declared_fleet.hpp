#ifndef CITRONWICK_FLEET_DECLARED_FLEET_HPP_INCLUDED
#define CITRONWICK_FLEET_DECLARED_FLEET_HPP_INCLUDED

#include "citronwick/fleet/crash_detector.hpp"
#include "citronwick/fleet/platform_adapter.hpp"
#include "citronwick/fleet/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace citronwick {

class suspect_registry;

/// The configuration and the upstreams as declared in the platform's store.
/// Used by the control thread only. Every change is logged.
class declared_fleet {
public:
    declared_fleet(const platform_adapter& adapter, suspect_registry& suspects);

    /// Applies a change of a key.
    /// @param usable_until time until which an upstream remains usable although its
    ///        entry is removed, none outside of a lapse window
    /// @return false if the key is neither a configuration, nor an upstream, nor an evacuation
    bool apply(const kv_change& change, std::optional<time_point> usable_until, time_point now);

    /// Removes the upstreams that a complete listing lacks.
    /// @param usable_until as for `apply`
    void retain_listed(const kv_listing& listing, std::optional<time_point> usable_until, time_point now);

    /// Ends the lapse window of all missing upstreams.
    void close_lapse_window(time_point now) { directory_.close_lapse_window(now); }

    /// Removes the missing upstreams whose lapse window has ended.
    /// @return whether any were removed
    bool expire(time_point now);

    /// Records that a connection broke while the upstream was running a request.
    /// @param suspects the request and the parts of its prompt that may have caused it
    void record_broken_connection(const std::vector<crash_suspect>& suspects, std::uint64_t upstream,
                                  time_point now);

    /// Records that an upstream refuses connections after one broke, so that its
    /// process has ended.
    void record_refusing_upstream(std::uint64_t upstream, time_point now);

    /// Records that an upstream said in a response that it is leaving.
    /// @return whether that was not known before
    bool record_leaving(std::uint64_t upstream);

    /// The configuration in force, null before the first one.
    std::shared_ptr<const routing_configuration> config() const { return config_; }

    /// Upstreams that accept new requests, by service.
    std::map<std::string, std::vector<routed_upstream>, std::less<>> usable() const;
    std::map<std::string, std::vector<routed_upstream>, std::less<>> leaving() const;

    /// Failure domains whose upstreams get nothing by the operators' order.
    const std::set<std::string>& evacuated_domains() const { return evacuated_; }

    /// Number of upstreams in evacuated failure domains that do not leave, by service.
    std::map<std::string, std::size_t, std::less<>> evacuated_upstreams() const;

    /// Hashes of all known incarnations.
    std::set<std::uint64_t> hashes() const { return directory_.hashes(); }

    /// Number of entries in the store from which no upstream can be read.
    std::size_t unusable_entries() const { return refused_.size(); }

private:
    void apply_configuration(const kv_change& change);
    void apply_evacuation(const kv_change& change);
    void retain_evacuations(const kv_listing& listing);
    void apply_upstream(const kv_change& change, std::optional<time_point> usable_until, time_point now);
    void refuse_upstream(const std::string& id, const kv_change& change, const failure& error,
                         time_point now);
    void handle_end(const std::optional<ended_upstream>& ended, time_point now);
    void handle_end(const ended_upstream& ended, time_point now);
    void record_crash(const upstream_entry& crashed, time_point now);

    const platform_adapter& adapter_;
    suspect_registry& suspects_;
    store_layout layout_;
    upstream_directory directory_;
    crash_detector crash_detector_;
    std::shared_ptr<const routing_configuration> config_;
    std::set<std::string> evacuated_; ///< failure domains
    /// Hashes of the texts of unusable entries, by identifier, so that each is logged once.
    std::map<std::string, std::uint64_t> refused_;
};

} // namespace citronwick

#endif
