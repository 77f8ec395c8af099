#include "citronwick/io/counted_kv_client.hpp"

#include <utility>

namespace citronwick {

counted_kv_client::counted_kv_client(std::unique_ptr<watched_kv_client> service, kv_call_counts& counts)
    : service_{std::move(service)}, counts_{counts} {}

template <class CallResult>
task<CallResult> counted_kv_client::count(kv_call kind, task<CallResult> call) {
    CallResult call_result = co_await std::move(call);
    auto& outcomes = counts_.by_kind.at(static_cast<std::size_t>(kind));
    (call_result.has_error() ? outcomes.failed : outcomes.answered).fetch_add(1, std::memory_order_relaxed);
    co_return call_result;
}

task<io_result<std::optional<kv_entry>>> counted_kv_client::read(std::string key) {
    return count(kv_call::read, service_->read(std::move(key)));
}

task<io_result<swap_outcome>> counted_kv_client::compare_and_swap(std::string key,
                                                                  std::int64_t expected_revision,
                                                                  std::string value, std::int64_t lease) {
    return count(kv_call::write,
                 service_->compare_and_swap(std::move(key), expected_revision, std::move(value), lease));
}

task<io_result<kv_lease>> counted_kv_client::grant_lease(std::chrono::seconds time_to_live) {
    return count(kv_call::lease, service_->grant_lease(time_to_live));
}

task<io_result<bool>> counted_kv_client::renew_lease(std::int64_t lease) {
    return count(kv_call::renewal, service_->renew_lease(lease));
}

task<io_result<bool>> counted_kv_client::wait_for_change(std::string key, std::int64_t after_revision,
                                                         std::chrono::milliseconds timeout) {
    return count(kv_call::watch, service_->wait_for_change(std::move(key), after_revision, timeout));
}

task<io_result<kv_listing>> counted_kv_client::list(std::string prefix) {
    return count(kv_call::listing, service_->list(std::move(prefix)));
}

task<io_result<store_position>> counted_kv_client::current_position() {
    return count(kv_call::revision, service_->current_position());
}

std::uint64_t counted_kv_client::newest_era() const {
    return service_->newest_era();
}

task<io_result<kv_changes>> counted_kv_client::wait_for_changes(std::string prefix, std::int64_t after,
                                                                std::chrono::milliseconds wait) {
    return count(kv_call::watch, service_->wait_for_changes(std::move(prefix), after, wait));
}

std::uint64_t counted_kv_client::take_byte_count() {
    return service_->take_byte_count();
}

} // namespace citronwick
