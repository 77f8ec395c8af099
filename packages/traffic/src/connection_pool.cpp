#include "citronwick/traffic/connection_pool.hpp"

#include <algorithm>

namespace citronwick {

connection_pool::connection_pool(asio::any_io_executor executor, std::chrono::milliseconds idle_limit)
    : executor_{std::move(executor)}, idle_limit_{idle_limit} {}

std::unique_ptr<upstream_connection> connection_pool::take(const endpoint& peer, time_point now,
                                                           duration most_idle) {
    auto& waiting = idle_[peer];
    std::erase_if(waiting, [&](const idle_connection& each) {
        return now - each.since >= std::min<duration>(idle_limit_, each.idle_timeout);
    });
    while (!waiting.empty() && now - waiting.back().since < most_idle) {
        auto newest = std::move(waiting.back().connection);
        waiting.pop_back();
        if (newest->is_quiet()) {
            return newest;
        }
    }
    return take_new(peer);
}

std::unique_ptr<upstream_connection> connection_pool::take_new(const endpoint& peer) const {
    return std::make_unique<upstream_connection>(executor_, peer);
}

void connection_pool::give_back(std::unique_ptr<upstream_connection> connection, time_point now,
                                duration idle_timeout) {
    constexpr std::size_t most_idle = 64;
    auto& waiting = idle_[connection->peer()];
    if (connection->reusable() && waiting.size() < most_idle) {
        waiting.push_back({std::move(connection), now, idle_timeout});
    }
}

} // namespace citronwick
