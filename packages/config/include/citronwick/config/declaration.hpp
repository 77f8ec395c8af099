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

/// Kind of the upstreams of a service: model engines or plain HTTP servers.
enum class service_kind : std::uint8_t { engine, plain };

/// Whether non-repeatable requests to a plain service need an idempotency key.
enum class key_requirement : std::uint8_t {
    optional, ///< a request without a key is accepted, but never sent again
    required  ///< a request without a key is refused
};

/// Service that requests are routed to.
struct service {
    std::string name;
    service_kind kind = service_kind::plain;
    std::vector<std::string> models;                               ///< engine: models served
    std::vector<std::string> repeatable{"GET", "HEAD", "OPTIONS"}; ///< plain: methods that are safe to repeat
    key_requirement idempotency_key = key_requirement::optional;
    std::string key_pointer;           ///< plain: JSON pointer to the body member that holds the key
    bool deduplicates = false;         ///< plain: the service itself deduplicates by Idempotency-Key
    bool checks_fencing_number = true; ///< the service rejects requests with an outdated fencing token
};

/// Customer of the fleet. Only the digest of its API key is stored.
struct team {
    std::string name;
    std::string key_sha256; ///< 64 hexadecimal digits
    double weight = 1.0;    ///< relative share of a service that is at capacity
};

/// Parsed and validated declaration of the services, teams and presets.
class declaration {
public:
    /// Reads a TOML declaration.
    /// @param file file name in error messages
    /// @return a `failure` whose detail lists each problem with its line number
    static result<declaration> parse(std::string_view text, const std::string& file);

    const std::vector<service>& services() const { return services_; }
    const std::vector<team>& teams() const { return teams_; }
    const std::vector<preset>& presets() const { return presets_; }

    /// @return null if there is none
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
