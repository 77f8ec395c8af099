#ifndef CITRONWICK_IO_KV_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_KV_CLIENT_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace citronwick {

/// Value of a key, with the revisions at which it was created and last modified.
struct kv_entry {
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
};

/// Outcome of a compare-and-swap to which the service responded.
struct swap_outcome {
    bool succeeded = false;
    std::int64_t revision = 0;         ///< store revision after the call
    std::uint64_t era = 0;             ///< of the store's history, 0 if the store does not name it
    std::optional<kv_entry> current{}; ///< existing entry if the comparison failed; none if the key is absent
};

/// Lease of the key-value service; keys attached to it are deleted when it expires.
struct kv_lease {
    std::int64_t id = 0;
    std::chrono::seconds time_to_live{0};
};

/// Client of the platform's key-value service.
///
/// The `failure` of a call says whether the call may have taken effect nevertheless.
class kv_client {
public:
    kv_client() = default;
    kv_client(const kv_client&) = delete;
    kv_client& operator=(const kv_client&) = delete;
    virtual ~kv_client();

    virtual task<io_result<std::optional<kv_entry>>> read(std::string key) = 0;

    /// Writes a value if the key was last modified at `expected_revision`.
    /// @param expected_revision modification revision, 0 if the key must be absent
    /// @param lease identifier of the lease to attach, 0 for none
    virtual task<io_result<swap_outcome>> compare_and_swap(std::string key, std::int64_t expected_revision,
                                                           std::string value, std::int64_t lease) = 0;

    virtual task<io_result<kv_lease>> grant_lease(std::chrono::seconds time_to_live) = 0;

    /// Waits for a change of the key after a revision.
    /// @return false if `timeout` passed without a change
    virtual task<io_result<bool>> wait_for_change(std::string key, std::int64_t after_revision,
                                                  std::chrono::milliseconds timeout) = 0;

    /// Bytes sent and received since the last call.
    virtual std::uint64_t take_byte_count() = 0;
};

} // namespace citronwick

#endif
