// Numbers in messages that only a later landing knows are not taken for others.

#include "citronwick/control/claim_registry.hpp"
#include "citronwick/control/document_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <string>
#include <utility>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

/// Store that holds the one claim that was written first.
class claim_store final : public kv_client {
public:
    task<io_result<std::optional<kv_entry>>> read(std::string /*key*/) override {
        co_return std::optional{kv_entry{claim, 1, 1}};
    }
    task<io_result<swap_outcome>> compare_and_swap(std::string /*key*/, std::int64_t /*expected_revision*/,
                                                   std::string value, std::int64_t /*lease*/) override {
        if (!claim.empty()) {
            co_return swap_outcome{.revision = 1, .current = kv_entry{claim, 1, 1}};
        }
        claim = std::move(value);
        co_return swap_outcome{.succeeded = true, .revision = 1};
    }
    task<io_result<kv_lease>> grant_lease(std::chrono::seconds time_to_live) override {
        co_return kv_lease{1, time_to_live};
    }
    task<io_result<bool>> wait_for_change(std::string /*key*/, std::int64_t /*after_revision*/,
                                          std::chrono::milliseconds /*timeout*/) override {
        co_return false;
    }
    std::uint64_t take_byte_count() override { return 0; }

    std::string claim;
};

task<void> claim_into(claim_registry& registry, claim_result& result) {
    result = co_await registry.claim("desk", "key", "fingerprint", clock::now());
}

/// Verdict on a request whose claimant states a number as its state.
claim_verdict verdict_on(int state) {
    const auto query = [state](endpoint, wire::claim_query) -> task<io_result<wire::claim_answer>> {
        co_return wire::claim_answer{
            .state = static_cast<wire::claim_state>(state), .status = 200, .content_type = {}, .body = {}};
    };
    claim_store store;
    claim_registry claimant{store, "prefix", "first", 3600s, query};
    claimant.set_address("10.1.2.3:7070");
    claim_registry asking{store, "prefix", "second", 3600s, query};
    claim_result granted;
    claim_result resent;
    asio::io_context context;
    asio::co_spawn(context, claim_into(claimant, granted), asio::detached);
    context.run();
    CHECK(granted.verdict == claim_verdict::granted);
    context.restart();
    asio::co_spawn(context, claim_into(asking, resent), asio::detached);
    context.run();
    return resent.verdict;
}

} // namespace

TEST_CASE("a state of a claim that is not known is no answer to the request") {
    CHECK(verdict_on(0) == claim_verdict::unknown);
    CHECK(verdict_on(1) == claim_verdict::in_progress);
    CHECK(verdict_on(2) == claim_verdict::answered);
    CHECK(verdict_on(3) == claim_verdict::unknown);
    CHECK(verdict_on(255) == claim_verdict::unknown);
}

TEST_CASE("there is no document of a kind that is not known") {
    const document_store store;
    CHECK(store.current(static_cast<wire::document_kind>(2)) == nullptr);
    CHECK(store.generation(static_cast<wire::document_kind>(255)) == 0);
}
