#include "citronwick/fleet/stream_exchange.hpp"

#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/fleet/stream_numberings.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after which an unanswered question is forgotten.
constexpr duration question_lifetime = 1s;

} // namespace

stream_exchange::stream_exchange(const begun_streams& streams, stream_numberings& numberings, sender send)
    : streams_{streams}, numberings_{numberings}, send_{std::move(send)} {}

void stream_exchange::ask(std::uint64_t key, const std::vector<std::uint64_t>& routers, reply_callback reply,
                          time_point now) {
    if (routers.empty()) {
        reply(std::nullopt);
        return;
    }
    questions_[key].push_back({std::move(reply), {routers.begin(), routers.end()}, now});
    wire::gossip message;
    message.stream_queries.push_back(key);
    std::ranges::for_each(routers, [&](std::uint64_t router) { send_(message, router, now); });
}

void stream_exchange::handle_message(std::uint64_t sender, const wire::gossip& message, time_point now) {
    wire::gossip answer;
    for (const std::uint64_t key : message.stream_queries) {
        if (const auto version = streams_.version_of(key, now)) {
            answer.stream_versions.push_back({key, *version});
            if (const auto numbering = numberings_.entry_of(*version, now)) {
                answer.stream_numberings.push_back(*numbering);
            }
        } else if (streams_.is_complete(now)) {
            answer.unseen_streams.push_back(key);
        }
    }
    if (!answer.stream_versions.empty() || !answer.unseen_streams.empty()) {
        send_(answer, sender, now);
    }
    std::ranges::for_each(message.stream_versions,
                          [this](const wire::stream_version& seen) { record_version(seen); });
    std::ranges::for_each(message.unseen_streams, [&](std::uint64_t key) { record_unseen(key, sender); });
}

void stream_exchange::record_version(const wire::stream_version& seen) {
    if (auto found = questions_.extract(seen.key)) {
        std::ranges::for_each(found.mapped(), [&](const question& asked) { asked.reply(seen.version); });
    }
}

void stream_exchange::record_unseen(std::uint64_t key, std::uint64_t sender) {
    const auto found = questions_.find(key);
    if (found == questions_.end()) {
        return;
    }
    std::erase_if(found->second, [sender](question& asked) {
        const bool is_last = asked.awaited.erase(sender) > 0 && asked.awaited.empty();
        if (is_last) {
            asked.reply(std::nullopt);
        }
        return is_last;
    });
    if (found->second.empty()) {
        questions_.erase(found);
    }
}

void stream_exchange::expire(time_point now) {
    std::erase_if(questions_,
                  [now](const auto& each) { return now - each.second.back().asked_at >= question_lifetime; });
}

} // namespace citronwick
