#include "citronwick/router/signal_listener.hpp"

#include <csignal>
#include <utility>

namespace citronwick {

namespace {

sigset_t handled_signals() {
    sigset_t signals{};
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGHUP);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void hold_signals() {
    const sigset_t signals = handled_signals();
    ::sigprocmask(SIG_BLOCK, &signals, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGXFSZ, SIG_IGN);
}

signal_listener::signal_listener(std::function<void()> reload)
    : reload_{std::move(reload)}, stop_signals_{context_, SIGTERM, SIGINT},
      reload_signals_{context_, SIGHUP} {
    stop_signals_.async_wait([this](const boost::system::error_code&, int) {
        stop_requested_ = true;
        context_.stop();
    });
    wait_for_reload();
    const sigset_t signals = handled_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

signal_listener::~signal_listener() {
    // The signal sets restore the default actions, which would end the process.
    hold_signals();
}

bool signal_listener::stop_requested() {
    context_.poll();
    return stop_requested_;
}

void signal_listener::wait_for_stop() {
    context_.run();
}

bool signal_listener::wait_for_stop(std::chrono::milliseconds limit) {
    context_.run_for(limit);
    return stop_requested_;
}

void signal_listener::wait_for_reload() {
    reload_signals_.async_wait([this](const boost::system::error_code& error, int) {
        if (!error) {
            reload_();
            wait_for_reload();
        }
    });
}

} // namespace citronwick
