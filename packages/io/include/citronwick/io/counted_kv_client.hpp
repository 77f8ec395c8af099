#ifndef CITRONWICK_IO_COUNTED_KV_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_COUNTED_KV_CLIENT_HPP_INCLUDED

#include "citronwick/io/watched_kv_client.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <string_view>

namespace citronwick {

/// Kinds of calls to a key-value service.
enum class kv_call : std::uint8_t { read, write, lease, renewal, listing, revision, watch };

constexpr std::array<std::string_view, 7> kv_call_names{"read",    "write",    "lease", "renewal",
                                                        "listing", "revision", "watch"};

/// Calls since start, by kind. Safe to read from any thread.
struct kv_call_counts {
    struct outcomes {
        std::atomic<std::uint64_t> answered{0};
        std::atomic<std::uint64_t> failed{0};
    };
    std::array<outcomes, kv_call_names.size()> by_kind{};
};

/// Decorator that counts the calls to a key-value service by kind and result.
class counted_kv_client final : public watched_kv_client {
public:
    /// @param counts incremented per call; must outlive this object
    counted_kv_client(std::unique_ptr<watched_kv_client> service, kv_call_counts& counts);

    task<io_result<std::optional<kv_entry>>> read(std::string key) override;
    task<io_result<swap_outcome>> compare_and_swap(std::string key, std::int64_t expected_revision,
                                                   std::string value, std::int64_t lease) override;
    task<io_result<kv_lease>> grant_lease(std::chrono::seconds time_to_live) override;
    task<io_result<bool>> renew_lease(std::int64_t lease) override;
    task<io_result<bool>> wait_for_change(std::string key, std::int64_t after_revision,
                                          std::chrono::milliseconds timeout) override;
    task<io_result<kv_listing>> list(std::string prefix) override;
    task<io_result<store_position>> current_position() override;
    std::uint64_t newest_era() const override;
    task<io_result<kv_changes>> wait_for_changes(std::string prefix, std::int64_t after,
                                                 std::chrono::milliseconds wait) override;
    std::uint64_t take_byte_count() override;

private:
    template <class CallResult>
    task<CallResult> count(kv_call kind, task<CallResult> call);

    std::unique_ptr<watched_kv_client> service_;
    kv_call_counts& counts_;
};

} // namespace citronwick

#endif
