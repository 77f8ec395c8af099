#ifndef CITRONWICK_TRAFFIC_OVERDUE_RESPONSE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_OVERDUE_RESPONSE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <functional>
#include <memory>

namespace citronwick {

/// Asks whether to give up a response that is overdue, as long as this object exists. It is
/// destroyed on the thread of its executor.
class overdue_response {
public:
    /// Time between two questions.
    static constexpr std::chrono::milliseconds interval{200};

    /// @param overdue time of the first question, the largest one for never
    /// @param prepare starts what has to be done before each question; the task may outlive this object
    /// @param give_up returns whether the response was given up, so that it need not be asked again
    overdue_response(const asio::any_io_executor& executor, time_point overdue,
                     std::function<task<void>()> prepare, std::function<bool()> give_up);
    overdue_response(const overdue_response&) = delete;
    overdue_response& operator=(const overdue_response&) = delete;
    ~overdue_response();

private:
    struct state;
    static void wait(const std::shared_ptr<state>& watched, time_point until);
    static task<void> ask(std::shared_ptr<state> watched);

    std::shared_ptr<state> state_; ///< shared with the handler of the timer
};

} // namespace citronwick

#endif
