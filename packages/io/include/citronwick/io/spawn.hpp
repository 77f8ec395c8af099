#ifndef CITRONWICK_IO_SPAWN_HPP_INCLUDED
#define CITRONWICK_IO_SPAWN_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <functional>
#include <string>

namespace citronwick {

/// Delay after which a task that ended with an exception is started again.
inline constexpr duration default_restart_delay = std::chrono::milliseconds{100};

/// Starts a task whose result nobody awaits. An exception that ends it is recorded.
/// @param name of the task in the log and the metrics
/// @param on_exception called after that, to take back what the task has not finished
void spawn_logged(const asio::any_io_executor& executor, std::string name, task<void> work,
                  std::function<void()> on_exception = nullptr);

/// Runs a task that must not end, such as a loop that accepts connections. If an
/// exception ends it, or the coroutine is destroyed because an operation that it awaits
/// threw, this is recorded and the task is started again after a delay. It is not
/// started again after it has returned.
/// @param start creates the task. It is called again for each start, so what the task
///        keeps in its own variables begins anew.
void spawn_restarting(const asio::any_io_executor& executor, std::string name,
                      std::function<task<void>()> start, duration restart_delay = default_restart_delay);

} // namespace citronwick

#endif
