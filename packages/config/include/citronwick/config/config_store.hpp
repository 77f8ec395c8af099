#ifndef CITRONWICK_CONFIG_CONFIG_STORE_HPP_INCLUDED
#define CITRONWICK_CONFIG_CONFIG_STORE_HPP_INCLUDED

#include "citronwick/config/configuration.hpp"
#include "citronwick/io/kv_client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace citronwick {

/// Configuration as it stands in the key-value service.
struct stored_configuration {
    configuration value;
    std::int64_t mod_revision = 0; ///< of the root
};

/// Change that an operator wants in force.
struct configuration_change {
    std::string text;                 ///< whole declaration
    std::string active_preset;        ///< preset to put in force
    std::vector<std::string> drained; ///< upstreams that take no new work
    std::string writer;
    std::string reason;
    std::string time; ///< UTC, ISO 8601
};

/// Configuration in the platform's key-value service: chunks of the
/// declaration under their digests, and one root that a compare-and-swap
/// replaces. History is the chain of earlier roots, kept as chunks.
class config_store {
public:
    /// @param prefix of all keys, such as "/citronwick"
    config_store(kv_client& service, std::string prefix);

    /// Key of the root, for watches.
    const std::string& root_key() const { return root_key_; }

    /// Reads root and chunks.
    /// @return nothing where none has been applied yet
    task<io_result<std::optional<stored_configuration>>> load();

    /// Reads one chunk and checks it against its digest.
    task<io_result<std::string>> read_chunk(std::string digest);

    /// Puts a change in force if the root is still the one that it is based on.
    /// @param base what the change was made from, null for the first
    /// @return the new generation; a `failure` names the winner of a lost race,
    ///         or says that the outcome could not be learnt
    task<io_result<std::uint64_t>> commit(const configuration_change& change,
                                          const stored_configuration* base);

    /// Roots from the newest back, at most `most`.
    task<io_result<std::vector<configuration_root>>> history(std::size_t most);

private:
    task<io_result<void>> put_chunk(const std::string& digest, const std::string& content);
    task<io_result<std::string>> read_text(const configuration_root& root);
    task<io_result<void>> put_chunks(const configuration_change& change, const stored_configuration* base,
                                     configuration_root& next);
    task<io_result<std::uint64_t>> settle_lost_answer(const configuration_root& attempted, failure error);

    kv_client& service_;
    std::string prefix_;
    std::string root_key_;
};

} // namespace citronwick

#endif
