#include "citronwick/traffic/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace citronwick {

connection_pool::connection_pool(asio::any_io_executor executor, std::chrono::milliseconds idle_limit,
                                 std::size_t max_idle, tunnel_opener* tunnels)
    : executor_{std::move(executor)}, idle_limit_{idle_limit}, max_idle_{max_idle}, tunnels_{tunnels} {}

std::unique_ptr<upstream_connection> connection_pool::acquire(const endpoint& peer, std::uint64_t request,
                                                              time_point now, duration max_idle) {
    auto& idle = idle_[peer];
    idle_count_ -= std::erase_if(idle, [&](const idle_connection& each) {
        return now - each.since >= std::min<duration>(idle_limit_, each.idle_timeout);
    });
    while (true) {
        const auto newest =
            std::ranges::find_if(idle | std::views::reverse, [&](const idle_connection& each) {
                return now - each.since < max_idle && each.connection->may_carry(request);
            });
        if (newest == idle.rend()) {
            return create(peer);
        }
        auto connection = std::move(newest->connection);
        idle.erase(std::next(newest).base());
        --idle_count_;
        if (connection->is_idle()) {
            return connection;
        }
    }
}

std::unique_ptr<upstream_connection> connection_pool::create(const endpoint& peer) const {
    return std::make_unique<upstream_connection>(executor_, peer, tunnels_);
}

void connection_pool::release(std::unique_ptr<upstream_connection> connection, time_point now,
                              duration idle_timeout) {
    constexpr std::size_t max_idle_connections = 64;
    auto& idle = idle_[connection->peer()];
    if (connection->reusable() && idle.size() < max_idle_connections) {
        idle.push_back({std::move(connection), now, idle_timeout});
        ++idle_count_;
    }
    if (idle_count_ > max_idle_) {
        close_oldest();
    }
}

void connection_pool::close_idle() {
    idle_.clear();
    idle_count_ = 0;
}

void connection_pool::close_idle_if(const std::function<bool(const upstream_connection&)>& condition) {
    for (auto& idle : idle_ | std::views::values) {
        idle_count_ -=
            std::erase_if(idle, [&](const idle_connection& each) { return condition(*each.connection); });
    }
}

void connection_pool::close_oldest() {
    std::erase_if(idle_, [](const auto& each) { return each.second.empty(); });
    const auto oldest =
        std::ranges::min_element(idle_, {}, [](const auto& each) { return each.second.front().since; });
    oldest->second.erase(oldest->second.begin());
    --idle_count_;
}

} // namespace citronwick
