#ifndef CITRONWICK_CONFIG_DECLARATION_HPP_INCLUDED
#define CITRONWICK_CONFIG_DECLARATION_HPP_INCLUDED

#include "citronwick/core/failure.hpp"
#include "citronwick/policy/preset.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace citronwick {

/// What stands behind a service.
enum class service_kind : std::uint8_t { engine, plain };

/// What a plain service's calls need that may not be repeated.
enum class key_rule : std::uint8_t {
    optional, ///< a call without a key runs, but is never sent again
    required  ///< a call without a key is refused
};

/// Service that the fleet routes to.
struct service {
    std::string name;
    service_kind kind = service_kind::plain;
    std::vector<std::string> models;                               ///< engines: models that are served
    std::vector<std::string> repeatable{"GET", "HEAD", "OPTIONS"}; ///< plain: methods that may run twice
    key_rule idempotency_key = key_rule::optional;
    std::string key_pointer;           ///< plain: JSON pointer to the field of the body that is the key
    bool deduplicates = false;         ///< plain: the service itself honours Idempotency-Key
    bool checks_fencing_number = true; ///< refuses orders with an old fencing number
};

/// Customer of the fleet; its key is kept as a digest only.
struct team {
    std::string name;
    std::string key_sha256; ///< 64 hexadecimal digits
    double weight = 1.0;    ///< share of a busy service
};

/// Everything that operators declare, checked and with its references resolved.
class declaration {
public:
    /// Reads a TOML declaration.
    /// @param file name for messages
    /// @return a `failure` whose detail lists each problem with its line
    static result<declaration> parse(std::string_view text, const std::string& file);

    const std::vector<service>& services() const { return services_; }
    const std::vector<team>& teams() const { return teams_; }
    const std::vector<preset>& presets() const { return presets_; }

    /// @return null where there is none
    const service* find_service(std::string_view name) const;
    const service* find_service_of_model(std::string_view model) const;
    const team* find_team(std::string_view key_sha256) const;
    const preset* find_preset(std::string_view name) const;

private:
    std::vector<service> services_;
    std::vector<team> teams_;
    std::vector<preset> presets_;
    std::unordered_map<std::string, std::size_t> team_by_key_;
};

} // namespace citronwick

#endif
