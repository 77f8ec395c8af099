#include "citronwick/policy/queue_wait.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("urgent requests wait less than the average in an engine's queue, and the least urgent more") {
    CHECK(queue_wait(1s, 0) < 1s);
    CHECK(queue_wait(1s, 1) == 1s);
    CHECK(queue_wait(1s, 2) > 1s);
    CHECK(queue_wait(1s, 9) == queue_wait(1s, 2));
}
