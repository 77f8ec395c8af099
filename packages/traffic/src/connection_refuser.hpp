#ifndef CITRONWICK_TRAFFIC_CONNECTION_REFUSER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CONNECTION_REFUSER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace citronwick {

/// Refuses connections beyond the limit with a complete response.
///
/// A refused connection stays open until its caller has read the response, for a bounded time. At
/// the limit on such connections the oldest one is ended first.
class connection_refuser {
public:
    connection_refuser(asio::any_io_executor executor, std::size_t max_connections,
                       std::chrono::milliseconds write_timeout, const std::atomic<bool>& is_stopping);

    void refuse(asio::ip::tcp::socket socket, time_point now);

private:
    struct refusal;

    task<void> run(std::shared_ptr<refusal> refused);
    void end_oldest();
    void log(time_point now);

    asio::any_io_executor executor_;
    std::size_t max_connections_;
    std::chrono::milliseconds write_timeout_;
    const std::atomic<bool>& is_stopping_;
    std::deque<std::shared_ptr<refusal>> open_; ///< oldest first
    std::uint64_t count_ = 0;
    std::optional<time_point> logged_at_;
};

} // namespace citronwick

#endif
