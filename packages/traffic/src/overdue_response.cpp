#include "overdue_response.hpp"

#include "citronwick/io/spawn.hpp"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace citronwick {

struct overdue_response::state {
    asio::steady_timer timer;
    std::function<task<void>()> prepare;
    std::function<bool()> give_up; ///< empty once the response is not waited for any more
};

overdue_response::overdue_response(const asio::any_io_executor& executor, time_point overdue,
                                   std::function<task<void>()> prepare, std::function<bool()> give_up)
    : state_{std::make_shared<state>(asio::steady_timer{executor}, std::move(prepare), std::move(give_up))} {
    if (overdue != time_point::max()) {
        wait(state_, overdue);
    }
}

overdue_response::~overdue_response() {
    state_->give_up = nullptr;
    state_->timer.cancel();
}

void overdue_response::wait(const std::shared_ptr<state>& watched, time_point until) {
    watched->timer.expires_at(until);
    watched->timer.async_wait([watched](const boost::system::error_code& error) {
        if (!error && watched->give_up) {
            spawn_logged(watched->timer.get_executor(), "overdue_response", ask(watched));
        }
    });
}

task<void> overdue_response::ask(std::shared_ptr<state> watched) {
    if (!watched->give_up) {
        co_return;
    }
    auto prepared = watched->prepare();
    co_await std::move(prepared);
    if (watched->give_up && !watched->give_up()) {
        wait(watched, clock::now() + interval);
    }
}

} // namespace citronwick
