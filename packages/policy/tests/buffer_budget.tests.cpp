#include "citronwick/policy/buffer_budget.hpp"
#include "citronwick/policy/buffer_reservation.hpp"

#include <deque>
#include <doctest/doctest.h>

using namespace citronwick;

namespace {

constexpr std::size_t kibibyte = 1'024;
constexpr std::size_t mebibyte = 1'024 * kibibyte;

/// Lets a request grow in steps, as its body arrives, until it is complete or refused.
bool receive(buffer_reservation& request, std::size_t bytes) {
    for (std::size_t size = kibibyte; size <= bytes; size += kibibyte) {
        if (!request.resize(buffer_part::request, size)) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("the budget is never exceeded, and small requests still fit beside many large ones") {
    buffer_budget budget{64 * mebibyte};
    std::deque<buffer_reservation> large;
    for (int count = 0; count < 600; ++count) {
        receive(large.emplace_back(budget), mebibyte);
        CHECK(budget.used() <= budget.limit());
    }
    std::deque<buffer_reservation> small;
    for (int count = 0; count < 1'000; ++count) {
        CHECK(receive(small.emplace_back(budget), 4 * kibibyte));
    }
    CHECK(budget.used() <= budget.limit());
}

TEST_CASE("one large request leaves as much as it takes") {
    buffer_budget budget{64 * mebibyte};
    buffer_reservation first{budget};
    CHECK_FALSE(receive(first, 64 * mebibyte));
    CHECK(budget.used() >= 20 * mebibyte);
    buffer_reservation second{budget};
    CHECK(receive(second, 10 * mebibyte));
}

TEST_CASE("bytes are released with the request, and when a part shrinks") {
    buffer_budget budget{mebibyte};
    {
        buffer_reservation request{budget};
        CHECK(request.resize(buffer_part::request, 3'000));
        CHECK(request.resize(buffer_part::response, 1'000));
        CHECK(budget.used() == 4'000);
        CHECK(request.resize(buffer_part::request, 0));
        CHECK(budget.used() == 1'000);
        CHECK_FALSE(request.resize(buffer_part::response, 2 * mebibyte));
        CHECK(budget.used() == 1'000);
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("buffers leave memory for the rest of the process") {
    CHECK(bytes_for_buffers(260 * mebibyte) == 98 * mebibyte);
    CHECK(bytes_for_buffers(32 * mebibyte) == 4 * mebibyte);
    CHECK(bytes_for_buffers(0) == 0);
}
