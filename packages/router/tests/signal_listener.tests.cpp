#include "citronwick/router/signal_listener.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace citronwick;
using namespace std::chrono_literals;

// Guards against signals that end a process which does not handle them yet, or no longer.
TEST_CASE("signals sent before a listener exists reach it, and later ones stay pending") {
    hold_signals();
    REQUIRE(::kill(::getpid(), SIGHUP) == 0);
    REQUIRE(::kill(::getpid(), SIGTERM) == 0);
    {
        int reloads = 0;
        signal_listener listener{[&reloads] { ++reloads; }};
        CHECK(listener.wait_for_stop(10s));
        CHECK(listener.stop_requested());
    }
    REQUIRE(::kill(::getpid(), SIGTERM) == 0);
    REQUIRE(::kill(::getpid(), SIGHUP) == 0);
    int reloads = 0;
    signal_listener next{[&reloads] { ++reloads; }};
    CHECK(next.wait_for_stop(10s));
}

TEST_CASE("a listener calls the reload function at each SIGHUP and does not stop") {
    hold_signals();
    int reloads = 0;
    signal_listener listener{[&reloads] { ++reloads; }};
    for (int sent = 1; sent <= 3; ++sent) {
        REQUIRE(::kill(::getpid(), SIGHUP) == 0);
        CHECK_FALSE(listener.wait_for_stop(100ms));
        CHECK(reloads == sent);
    }
}
