#ifndef CITRONWICK_CONFIG_CONFIG_STORE_HPP_INCLUDED
#define CITRONWICK_CONFIG_CONFIG_STORE_HPP_INCLUDED

#include "citronwick/config/configuration.hpp"
#include "citronwick/io/kv_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace citronwick {

/// Configuration as read from the key-value service.
struct stored_configuration {
    configuration value;
    std::int64_t mod_revision = 0; ///< modification revision of the root key
};

/// Change that an operator submits.
struct configuration_change {
    std::string text;                   ///< the complete declaration
    std::string active_preset;          ///< preset to activate
    std::vector<std::string> drained;   ///< upstreams that receive no new requests
    std::vector<std::string> evacuated; ///< failure domains whose upstreams receive no new requests
    std::string writer;
    std::string reason;
    std::string time; ///< UTC, ISO 8601
};

/// Reads and writes the configuration in the platform's key-value service.
///
/// The declaration is stored as content-addressed chunks, keyed by their SHA-256
/// digests. A single root key lists them and is replaced by compare-and-swap.
/// Earlier roots are kept as chunks too; each root holds its predecessor's digest.
class config_store {
public:
    /// @param prefix common prefix of all keys, such as "/citronwick"
    config_store(kv_client& service, std::string prefix);

    /// Key to watch for new generations.
    const std::string& root_key() const { return root_key_; }

    /// Reads the root and the chunks that it lists.
    /// @return nothing if no configuration has been committed yet
    task<io_result<std::optional<stored_configuration>>> load();

    /// Reads one chunk and verifies its digest.
    task<io_result<std::string>> read_chunk(std::string digest);

    /// Commits a change if the stored root is still the one of `base`.
    /// @param base the configuration that the change was made from, null for the first
    /// @return the new generation; the `failure` names the generation in force if another
    ///         writer committed first, or says that the outcome is unknown
    task<io_result<std::uint64_t>> commit(const configuration_change& change,
                                          const stored_configuration* base);

    /// Writes again what the service lost when it was restored from a backup.
    /// @param roots texts of committed roots, oldest first; the last one is put in force
    /// @param chunks contents of the chunks that the last root lists
    /// @param expected_revision revision of the root that the service holds
    /// @return whether the root was still the expected one
    task<io_result<bool>> write_again(std::vector<std::string> roots, std::vector<std::string> chunks,
                                      std::int64_t expected_revision);

    /// Reads up to `max_count` roots, newest first.
    task<io_result<std::vector<configuration_root>>> history(std::size_t max_count);

private:
    task<io_result<void>> put_chunk(const std::string& digest, const std::string& content);
    task<io_result<std::string>> read_text(const configuration_root& root);
    task<io_result<void>> put_chunks(const configuration_change& change, const stored_configuration* base,
                                     configuration_root& next);
    task<io_result<std::uint64_t>> resolve_unknown_outcome(const configuration_root& attempted,
                                                           failure error);

    kv_client& service_;
    std::string prefix_;
    std::string root_key_;
};

} // namespace citronwick

#endif
