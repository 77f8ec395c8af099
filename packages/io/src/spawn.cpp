#include "citronwick/io/spawn.hpp"

#include "citronwick/io/unhandled_exceptions.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <stdexcept>
#include <utility>

namespace citronwick {

namespace {

/// Whether the calling thread runs handlers of the executor's context. False while a
/// context that is being destroyed destroys its coroutines.
bool is_running(const asio::any_io_executor& executor) {
    const auto* const own = executor.target<asio::io_context::executor_type>();
    return own != nullptr && own->running_in_this_thread();
}

/// Completion handler of a spawned task that also learns if the coroutine is destroyed
/// instead of completed.
class completion {
public:
    using function = std::function<void(const std::exception_ptr&)>;

    completion(asio::any_io_executor executor, function on_end)
        : executor_{std::move(executor)}, on_end_{std::move(on_end)} {}
    completion(completion&& other) noexcept
        : executor_{std::move(other.executor_)}, on_end_{std::exchange(other.on_end_, nullptr)} {}
    completion(const completion&) = delete;
    completion& operator=(const completion&) = delete;
    completion& operator=(completion&&) = delete;
    ~completion() {
        if (on_end_ && is_running(executor_)) {
            std::exchange(on_end_,
                          nullptr)(std::make_exception_ptr(std::runtime_error{"an awaited operation threw"}));
        }
    }

    void operator()(const std::exception_ptr& exception) { std::exchange(on_end_, nullptr)(exception); }

private:
    asio::any_io_executor executor_;
    function on_end_;
};

struct restarting_task {
    asio::any_io_executor executor;
    std::string name;
    std::function<task<void>()> start;
    duration restart_delay;
};

void run(const std::shared_ptr<const restarting_task>& work);

task<void> run_after_delay(std::shared_ptr<const restarting_task> work) {
    asio::steady_timer timer{work->executor, work->restart_delay};
    co_await timer.async_wait(use_tuple);
    run(work);
}

void run(const std::shared_ptr<const restarting_task>& work) {
    auto started = work->start();
    asio::co_spawn(work->executor, std::move(started),
                   completion{work->executor, [work](const std::exception_ptr& exception) {
                                  if (exception) {
                                      record_unhandled_exception(work->name, exception);
                                      spawn_logged(work->executor, work->name, run_after_delay(work));
                                  }
                              }});
}

} // namespace

void spawn_logged(const asio::any_io_executor& executor, std::string name, task<void> work,
                  std::function<void()> on_exception) {
    completion::function on_end = [name = std::move(name), on_exception = std::move(on_exception)](
                                      const std::exception_ptr& exception) {
        if (exception) {
            record_unhandled_exception(name, exception);
        }
        if (exception && on_exception) {
            on_exception();
        }
    };
    asio::co_spawn(executor, std::move(work), completion{executor, std::move(on_end)});
}

void spawn_restarting(const asio::any_io_executor& executor, std::string name,
                      std::function<task<void>()> start, duration restart_delay) {
    run(std::make_shared<const restarting_task>(executor, std::move(name), std::move(start), restart_delay));
}

} // namespace citronwick
