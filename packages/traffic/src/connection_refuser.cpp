#include "connection_refuser.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/caller_connection.hpp"
#include "input_drain.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronwick {

namespace {

/// Wait for the request, since some clients discard a response that arrives before they have sent one.
constexpr std::chrono::milliseconds request_timeout{250};
constexpr std::chrono::seconds retry_after{1};
constexpr std::chrono::seconds log_interval{1};

} // namespace

struct connection_refuser::refusal {
    refusal(asio::ip::tcp::socket socket, const std::atomic<bool>& is_stopping)
        : connection{std::move(socket), is_stopping} {}

    caller_connection connection;
    bool is_waiting = true;  ///< for the request
    bool is_evicted = false; ///< it ends as soon as the response is written
};

connection_refuser::connection_refuser(asio::any_io_executor executor, std::size_t max_connections,
                                       std::chrono::milliseconds write_timeout,
                                       const std::atomic<bool>& is_stopping)
    : executor_{std::move(executor)}, max_connections_{std::max<std::size_t>(max_connections, 1)},
      write_timeout_{write_timeout}, is_stopping_{is_stopping} {}

void connection_refuser::refuse(asio::ip::tcp::socket socket, time_point now) {
    ++count_;
    log(now);
    // Refusals run on the accepting thread, not on the one that the socket was accepted for.
    boost::system::error_code error;
    const auto protocol = socket.local_endpoint(error).protocol();
    const auto descriptor = socket.release(error);
    asio::ip::tcp::socket own{executor_};
    own.assign(protocol, descriptor, error);
    if (error) {
        return;
    }
    while (open_.size() >= max_connections_) {
        end_oldest();
    }
    const auto refused = open_.emplace_back(std::make_shared<refusal>(std::move(own), is_stopping_));
    asio::co_spawn(executor_, run(refused),
                   [this, refused](const std::exception_ptr&) { std::erase(open_, refused); });
}

void connection_refuser::end_oldest() {
    open_.front()->is_evicted = true;
    open_.front()->connection.stream().cancel();
    open_.pop_front();
}

task<void> connection_refuser::run(std::shared_ptr<refusal> refused) {
    std::array<char, 4096> discarded{};
    // A timeout of the stream itself would close the connection without a response.
    asio::steady_timer timer{executor_, request_timeout};
    timer.async_wait([refused](const boost::system::error_code& error) {
        if (!error && refused->is_waiting) {
            refused->connection.stream().cancel();
        }
    });
    const auto space = asio::buffer(discarded);
    auto [error, size] = co_await refused->connection.stream().async_read_some(space, use_tuple);
    refused->is_waiting = false;
    timer.cancel();
    if (error && error != asio::error::operation_aborted) {
        co_return;
    }
    caller from{refused->connection, random_id(), false, write_timeout_, clock::now()};
    problem reason{503, "too-many-connections", "the router has no room for more connections",
                   outcome::not_run, retry_after};
    co_await from.refuse(std::move(reason));
    if (!refused->is_evicted) {
        co_await drain_input(refused->connection.stream());
    }
}

void connection_refuser::log(time_point now) {
    if (logged_at_ && now - *logged_at_ < log_interval) {
        return;
    }
    logged_at_ = now;
    log_warn("connection_refused", {{"reason", "too many connections"}, {"refused", std::to_string(count_)}});
}

} // namespace citronwick
