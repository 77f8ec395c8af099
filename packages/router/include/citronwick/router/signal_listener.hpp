#ifndef CITRONWICK_ROUTER_SIGNAL_LISTENER_HPP_INCLUDED
#define CITRONWICK_ROUTER_SIGNAL_LISTENER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <functional>

namespace citronwick {

/// Ignores the signals of failed writes (SIGPIPE, SIGXFSZ) and blocks SIGHUP, SIGTERM
/// and SIGINT, which stay pending until a `signal_listener` exists. Calls only
/// async-signal-safe functions.
void hold_signals();

/// Receives SIGHUP, SIGTERM and SIGINT while it exists, those held before included.
/// Blocks them again when it is destroyed.
class signal_listener {
public:
    /// @param reload called at a SIGHUP, from the functions below
    explicit signal_listener(std::function<void()> reload);
    signal_listener(const signal_listener&) = delete;
    signal_listener& operator=(const signal_listener&) = delete;
    ~signal_listener();

    /// Handles the signals received so far.
    /// @return whether SIGTERM or SIGINT was received
    bool stop_requested();

    /// Handles signals until SIGTERM or SIGINT is received.
    void wait_for_stop();

    /// As above, for no longer than `limit`.
    /// @return whether SIGTERM or SIGINT was received
    bool wait_for_stop(std::chrono::milliseconds limit);

private:
    void wait_for_reload();

    std::function<void()> reload_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set stop_signals_;
    boost::asio::signal_set reload_signals_;
    bool stop_requested_ = false;
};

} // namespace citronwick

#endif
