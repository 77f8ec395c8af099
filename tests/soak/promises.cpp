#include "promises.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <array>

namespace citronwick::soak {

using namespace std::chrono_literals;

namespace {

/// Time beyond a caller's deadline within which the final answer must come.
constexpr auto answer_slack = 1s;
constexpr auto deadline = 2s;
constexpr const char* all_events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
                                   "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n";

bool promises_not_run(unsigned status) {
    constexpr std::array statuses{408U, 421U, 429U, 503U};
    return std::ranges::find(statuses, status) != statuses.end();
}

std::map<std::string, std::int64_t> runs_on(const std::deque<harness::node>& workers) {
    std::map<std::string, std::int64_t> counts;
    for (const harness::node& worker : workers) {
        const auto page =
            parse_json_object(harness::http_call(worker.addresses.front(), {.target = "/standin/runs"}).body);
        const auto* const runs = page ? object_member(*page, "runs") : nullptr;
        if (runs == nullptr) {
            continue;
        }
        for (const auto& run : *runs) {
            counts[run.key()] += integer_member(run.value().as_object(), "count");
        }
    }
    return counts;
}

} // namespace

void promises::breach(const asked_request& request, std::string_view what) {
    breaches_.push_back(request.attempt + ": " + std::string{what} + " (status " +
                        std::to_string(request.answer.status) + ", took " +
                        std::to_string(request.took.count()) + " ms, " + request.answer.error + ")");
}

void promises::check_body(const asked_request& request) {
    constexpr unsigned ok = 200;
    const harness::reply& answer = request.answer;
    const bool is_whole = answer.status == ok && answer.error.empty();
    const bool is_stream = request.kind == asked_kind::resumable || request.kind == asked_kind::guide;
    if (answer.status == ok && answer.header("citronwick-attempt-id") != request.attempt) {
        breach(request, "the answer belongs to another request");
    }
    if (is_whole && !is_stream && !answer.body.starts_with("done by ")) {
        breach(request, "the answer is not the worker's");
    }
    if (is_whole && is_stream && answer.body != all_events) {
        breach(request, "a stream that ended as complete is not whole");
    }
    if (answer.status == ok && is_stream && !std::string_view{all_events}.starts_with(answer.body)) {
        breach(request, "events are missing or come twice");
    }
}

void promises::note(asked_request request) {
    const std::scoped_lock lock{mutex_};
    check_body(request);
    const auto taken = taken_keys_.find(request.key);
    constexpr unsigned ok = 200;
    if (taken != taken_keys_.end() && request.sent_at > taken->second + key_lifetime_ &&
        request.answer.status == ok) {
        breach(request, "a key that was taken away is still served");
    }
    if (request.router_was_well && request.took > deadline + answer_slack) {
        breach(request, "no final answer by the deadline");
    }
    requests_.push_back(std::move(request));
}

void promises::key_was_taken(const std::string& key, std::chrono::steady_clock::time_point at) {
    const std::scoped_lock lock{mutex_};
    taken_keys_[key] = at;
}

void promises::add_breach(std::string text) {
    const std::scoped_lock lock{mutex_};
    breaches_.push_back(std::move(text));
}

void promises::check_runs(const asked_request& request, std::int64_t runs) {
    const bool runs_once = request.kind == asked_kind::book || request.kind == asked_kind::guide;
    if (runs_once && runs > 1) {
        breach(request, "ran " + std::to_string(runs) + " times");
    }
    if (runs_once && runs > 0 && promises_not_run(request.answer.status)) {
        breach(request, "was called not run and has run");
    }
}

void promises::settle(const std::deque<harness::node>& plain_workers,
                      const std::deque<harness::node>& engines) {
    auto runs = runs_on(plain_workers);
    runs.merge(runs_on(engines));
    const std::scoped_lock lock{mutex_};
    for (const asked_request& request : requests_) {
        const auto found = runs.find(request.attempt);
        check_runs(request, found == runs.end() ? 0 : found->second);
    }
}

std::vector<std::string> promises::breaches() const {
    const std::scoped_lock lock{mutex_};
    return breaches_;
}

std::size_t promises::asked() const {
    const std::scoped_lock lock{mutex_};
    return requests_.size();
}

std::map<unsigned, std::size_t> promises::statuses() const {
    const std::scoped_lock lock{mutex_};
    std::map<unsigned, std::size_t> counts;
    for (const asked_request& request : requests_) {
        ++counts[request.answer.status];
    }
    return counts;
}

} // namespace citronwick::soak
