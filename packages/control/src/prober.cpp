#include "citronwick/control/prober.hpp"

#include "citronwick/control/load_report.hpp"
#include "citronwick/io/spawn.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds probe_timeout = 1s;
constexpr std::uint64_t max_body_bytes = 65'536;
constexpr int failures_until_unreachable = 2;

} // namespace

prober::connection::connection(const asio::any_io_executor& executor, const endpoint& address)
    : http{executor, address, max_body_bytes} {}

prober::prober(asio::any_io_executor executor, observer observe, byte_counter count)
    : executor_{std::move(executor)}, observe_{std::move(observe)}, count_{std::move(count)} {}

void prober::probe(const std::vector<upstream_table::probe_target>& targets) {
    std::map<std::uint32_t, std::shared_ptr<connection>> kept;
    for (const upstream_table::probe_target& target : targets) {
        auto& held = connections_[target.upstream];
        if (!held || held->http.peer() != target.address) {
            held = std::make_shared<connection>(executor_, target.address);
        }
        kept.emplace(target.upstream, held);
        if (!held->busy) {
            held->busy = true;
            spawn_logged(executor_, "probe", probe_upstream(held, target.upstream),
                         [held] { held->busy = false; });
        }
    }
    connections_ = std::move(kept);
}

task<void> prober::probe_upstream(std::shared_ptr<connection> target, std::uint32_t upstream) {
    http_request request{http::verb::get, "/health", 11};
    request.set(load_report_format_header, "JSON");
    auto response = co_await target->http.exchange(std::move(request), probe_timeout);
    const auto bytes = target->http.take_byte_count();
    count_(bytes.sent + bytes.received);
    target->busy = false;
    const auto now = clock::now();
    if (response.has_error() || response->result() != http::status::ok) {
        ++target->failures;
        if (target->failures >= failures_until_unreachable ||
            (response.has_error() && response.error().step == "connect")) {
            observe_(upstream, {.reachable = false, .at = now});
        }
        co_return;
    }
    target->failures = 0;
    const auto report = parse_load_report((*response)[load_report_header]).value_or(load_report{});
    observe_(upstream, {.reachable = true,
                        .in_flight = report.in_flight,
                        .incarnation = report.incarnation,
                        .leaving = report.leaving,
                        .at = now});
}

} // namespace citronwick
