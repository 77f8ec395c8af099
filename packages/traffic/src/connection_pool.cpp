#include "citronwick/traffic/connection_pool.hpp"

#include <algorithm>

namespace citronwick {

connection_pool::connection_pool(asio::any_io_executor executor, std::chrono::milliseconds idle_limit)
    : executor_{std::move(executor)}, idle_limit_{idle_limit} {}

std::unique_ptr<upstream_connection> connection_pool::acquire(const endpoint& peer, time_point now,
                                                              duration max_idle) {
    auto& idle = idle_[peer];
    std::erase_if(idle, [&](const idle_connection& each) {
        return now - each.since >= std::min<duration>(idle_limit_, each.idle_timeout);
    });
    while (!idle.empty() && now - idle.back().since < max_idle) {
        auto newest = std::move(idle.back().connection);
        idle.pop_back();
        if (newest->is_idle()) {
            return newest;
        }
    }
    return create(peer);
}

std::unique_ptr<upstream_connection> connection_pool::create(const endpoint& peer) const {
    return std::make_unique<upstream_connection>(executor_, peer);
}

void connection_pool::release(std::unique_ptr<upstream_connection> connection, time_point now,
                              duration idle_timeout) {
    constexpr std::size_t max_idle_connections = 64;
    auto& idle = idle_[connection->peer()];
    if (connection->reusable() && idle.size() < max_idle_connections) {
        idle.push_back({std::move(connection), now, idle_timeout});
    }
}

} // namespace citronwick
