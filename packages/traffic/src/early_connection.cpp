#include "early_connection.hpp"

#include "citronwick/traffic/tunnel_opener.hpp"

#include <algorithm>

namespace citronwick {

using namespace std::chrono_literals;

task<void> early_connection::open(std::shared_ptr<early_connection> opened, bool needs_peer,
                                  std::uint64_t request, std::chrono::milliseconds timeout,
                                  time_point deadline) {
    if (opened->connection_->is_open()) {
        opened->result_ = io_result<void>{};
        co_return;
    }
    auto result = co_await connect_to_upstream(*opened->connection_, needs_peer, request, timeout, deadline);
    opened->result_ = std::move(result);
}

std::optional<failure> early_connection::error() const {
    return result_ && result_->has_error() ? std::optional{result_->error()} : std::nullopt;
}

bool early_connection::is_ready() {
    return result_ && result_->has_value() && connection_->is_idle();
}

task<io_result<void>> connect_to_upstream(upstream_connection& connection, bool needs_peer,
                                          std::uint64_t request, std::chrono::milliseconds timeout,
                                          time_point deadline) {
    if (needs_peer) {
        auto relayed = co_await connection.connect_through_peer(request, timeout);
        if (relayed.has_value() || relayed.error().step != tunnel_opener::no_peer_step) {
            co_return relayed;
        }
    }
    const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now());
    auto connected = co_await connection.connect(std::clamp(time_left, 1ms, timeout));
    co_return connected;
}

} // namespace citronwick
