#ifndef CITRONWICK_IO_ACCEPT_FAILURES_HPP_INCLUDED
#define CITRONWICK_IO_ACCEPT_FAILURES_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace citronwick {

/// Handles failed `accept` calls of one listener.
///
/// A connection that fails while it waits in the backlog concerns no other one. Any
/// other failure, such as a lack of descriptors, leaves the connection in the backlog,
/// so that the next call would fail at once too.
class accept_failures {
public:
    /// @param listener name of the listener in the log
    explicit accept_failures(std::string listener) : listener_{std::move(listener)} {}

    /// Counts and logs a failure, and waits if the next call can be expected to fail too.
    task<void> handle(boost::system::error_code error, time_point now);

    std::uint64_t count() const { return count_.load(std::memory_order_relaxed); }

private:
    void log(const boost::system::error_code& error, time_point now);

    std::string listener_;
    std::atomic<std::uint64_t> count_{0};
    std::optional<time_point> logged_at_;
};

/// Whether a failed `accept` call concerns the single connection that it was to return.
bool concerns_single_connection(const boost::system::error_code& error);

} // namespace citronwick

#endif
