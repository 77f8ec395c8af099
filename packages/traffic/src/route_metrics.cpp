#include "citronwick/traffic/route_metrics.hpp"

#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/io/counted_kv_client.hpp"

#include <algorithm>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace citronwick {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

namespace {

/// Upper bounds of the latency buckets in seconds.
const Histogram::BucketBoundaries latency_bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                 0.4,   0.8,  1.6,   3.2,  6.4, 15.0};

double seconds(duration value) {
    return std::chrono::duration<double>{value}.count();
}

} // namespace

struct route_metrics::families {
    prometheus::Registry registry;
    Family<Counter>& connection_ends = prometheus::BuildCounter()
                                           .Name("citronwick_caller_connections_ended_total")
                                           .Help("Connections of callers that ended, by cause")
                                           .Register(registry);
    Family<Counter>& requests = prometheus::BuildCounter()
                                    .Name("citronwick_routed_requests_total")
                                    .Help("Requests by service and result")
                                    .Register(registry);
    Family<Histogram>& request_time = prometheus::BuildHistogram()
                                          .Name("citronwick_routed_request_seconds")
                                          .Help("Time from a request's header to its last byte")
                                          .Register(registry);
    Family<Counter>& attempts = prometheus::BuildCounter()
                                    .Name("citronwick_attempts_total")
                                    .Help("Sendings to upstreams by service and outcome")
                                    .Register(registry);
    Family<Histogram>& attempt_time = prometheus::BuildHistogram()
                                          .Name("citronwick_attempt_seconds")
                                          .Help("Time from sending to the first byte of the answer")
                                          .Register(registry);
    Family<Counter>& connections = prometheus::BuildCounter()
                                       .Name("citronwick_upstream_connections_total")
                                       .Help("Connections opened to upstreams, by service")
                                       .Register(registry);
    Family<Counter>& permits = prometheus::BuildCounter()
                                   .Name("citronwick_permits_total")
                                   .Help("Permits requested for rate-limited upstreams, by decision")
                                   .Register(registry);
    Family<Counter>& cold_sends = prometheus::BuildCounter()
                                      .Name("citronwick_cold_requests_total")
                                      .Help("Requests for upstreams that are cold, by service and decision")
                                      .Register(registry);
    Family<Counter>& fetched_tokens =
        prometheus::BuildCounter()
            .Name("citronwick_fetched_prompt_tokens_total")
            .Help("Prompt tokens that upstreams were told to fetch from another one's cache, by service")
            .Register(registry);
    Family<Counter>& fetches =
        prometheus::BuildCounter()
            .Name("citronwick_prompt_fetches_total")
            .Help("Requests sent with a source to fetch prompt tokens from, by service")
            .Register(registry);
    Family<Counter>& stream_runs =
        prometheus::BuildCounter()
            .Name("citronwick_stream_runs_total")
            .Help(
                "Runs of streams on one upstream each, by service, whether another run came before, and end")
            .Register(registry);
    Family<Counter>& early_ends =
        prometheus::BuildCounter()
            .Name("citronwick_early_stream_ends_total")
            .Help("Runs of streams behind whose orderly close another run had events, by service and whether "
                  "the upstream's process lived on")
            .Register(registry);
    Family<Counter>& skipped_responses =
        prometheus::BuildCounter()
            .Name("citronwick_skipped_responses_total")
            .Help("Responses to other requests than the one under way, by service")
            .Register(registry);
    Family<Gauge>& limited_upstreams = prometheus::BuildGauge()
                                           .Name("citronwick_rate_limited_upstreams")
                                           .Help("Upstreams that have named a rate limit")
                                           .Register(registry);
    Family<Gauge>& cold_upstreams = prometheus::BuildGauge()
                                        .Name("citronwick_cold_upstreams")
                                        .Help("Upstreams that are cold, by service")
                                        .Register(registry);
    Family<Gauge>& evacuated_domains = prometheus::BuildGauge()
                                           .Name("citronwick_evacuated_failure_domains")
                                           .Help("Failure domains whose upstreams get no requests by order")
                                           .Register(registry);
    Family<Gauge>& unusable_entries = prometheus::BuildGauge()
                                          .Name("citronwick_unusable_upstream_entries")
                                          .Help("Entries in the store from which no upstream can be read")
                                          .Register(registry);
    Family<Gauge>& version = prometheus::BuildGauge()
                                 .Name("citronwick_declaration_version")
                                 .Help("Version of the declaration in force")
                                 .Register(registry);
    Family<Gauge>& revision = prometheus::BuildGauge()
                                  .Name("citronwick_store_revision")
                                  .Help("Revision up to which the store was followed")
                                  .Register(registry);
    Family<Gauge>& era = prometheus::BuildGauge()
                             .Name("citronwick_store_era")
                             .Help("Number of the store's history; rises when it comes back from a copy")
                             .Register(registry);
    Family<Gauge>& key_age = prometheus::BuildGauge()
                                 .Name("citronwick_key_confirmation_age_seconds")
                                 .Help("Time since the team keys were confirmed, -1 for never")
                                 .Register(registry);
    Family<Gauge>& live_routers = prometheus::BuildGauge()
                                      .Name("citronwick_live_routers")
                                      .Help("Routers that this one hears, itself included")
                                      .Register(registry);
    Family<Gauge>& upstreams = prometheus::BuildGauge()
                                   .Name("citronwick_usable_upstreams")
                                   .Help("Upstreams that take new work, by service")
                                   .Register(registry);
    Family<Gauge>& store_calls = prometheus::BuildGauge()
                                     .Name("citronwick_store_calls")
                                     .Help("Calls of the platform's store since start, by kind and result")
                                     .Register(registry);
    Family<Gauge>& gossip_bytes = prometheus::BuildGauge()
                                      .Name("citronwick_gossip_bytes")
                                      .Help("Bytes sent to other routers since start")
                                      .Register(registry);
};

route_metrics::route_metrics() : families_{std::make_unique<families>()} {}

route_metrics::~route_metrics() = default;

void route_metrics::count_request(std::string_view service, std::string_view result, duration elapsed) {
    families_->requests.Add({{"service", std::string{service}}, {"result", std::string{result}}}).Increment();
    families_->request_time.Add({{"service", std::string{service}}}, latency_bounds)
        .Observe(seconds(elapsed));
}

void route_metrics::count_attempt(std::string_view service, std::string_view outcome, duration elapsed) {
    families_->attempts.Add({{"service", std::string{service}}, {"outcome", std::string{outcome}}})
        .Increment();
    families_->attempt_time.Add({{"service", std::string{service}}}, latency_bounds)
        .Observe(seconds(elapsed));
}

void route_metrics::count_connection(std::string_view service) {
    families_->connections.Add({{"service", std::string{service}}}).Increment();
}

void route_metrics::count_permit(std::string_view service, std::string_view decision) {
    families_->permits.Add({{"service", std::string{service}}, {"decision", std::string{decision}}})
        .Increment();
}

void route_metrics::count_cold_send(std::string_view service, std::string_view decision) {
    families_->cold_sends.Add({{"service", std::string{service}}, {"decision", std::string{decision}}})
        .Increment();
}

void route_metrics::count_fetch(std::string_view service, std::uint32_t tokens) {
    families_->fetches.Add({{"service", std::string{service}}}).Increment();
    families_->fetched_tokens.Add({{"service", std::string{service}}}).Increment(tokens);
}

void route_metrics::count_stream_run(std::string_view service, bool continues, std::string_view end) {
    families_->stream_runs
        .Add({{"service", std::string{service}},
              {"continues", continues ? "yes" : "no"},
              {"end", std::string{end}}})
        .Increment();
}

void route_metrics::count_early_end(std::string_view service, bool process_lives) {
    families_->early_ends
        .Add({{"service", std::string{service}}, {"process", process_lives ? "lives" : "unknown"}})
        .Increment();
}

void route_metrics::count_skipped_responses(std::string_view service, int count) {
    families_->skipped_responses.Add({{"service", std::string{service}}}).Increment(count);
}

void route_metrics::count_connection_end(std::string_view cause) {
    families_->connection_ends.Add({{"cause", std::string{cause}}}).Increment();
}

std::string route_metrics::page(const routing_plane& plane) {
    const auto view = plane.view();
    const auto age = plane.key_age(boot_now());
    families_->version.Add({}).Set(view->config ? static_cast<double>(view->config->version()) : 0.0);
    families_->revision.Add({}).Set(static_cast<double>(view->position.revision));
    families_->era.Add({}).Set(static_cast<double>(view->position.era));
    families_->key_age.Add({}).Set(age ? seconds(*age) : -1.0);
    families_->live_routers.Add({}).Set(static_cast<double>(view->live_routers));
    families_->gossip_bytes.Add({}).Set(static_cast<double>(plane.gossip_bytes()));
    families_->limited_upstreams.Add({}).Set(static_cast<double>(plane.limits().in_force().size()));
    const kv_call_counts& calls = plane.store_calls();
    for (std::size_t kind = 0; kind < kv_call_names.size(); ++kind) {
        const std::string name{kv_call_names.at(kind)};
        const auto& outcomes = calls.by_kind.at(kind);
        families_->store_calls.Add({{"kind", name}, {"result", "answered"}})
            .Set(static_cast<double>(outcomes.answered));
        families_->store_calls.Add({{"kind", name}, {"result", "failed"}})
            .Set(static_cast<double>(outcomes.failed));
    }
    families_->evacuated_domains.Add({}).Set(static_cast<double>(view->evacuated_domains));
    families_->unusable_entries.Add({}).Set(static_cast<double>(view->unusable_entries));
    const auto now = clock::now();
    for (const auto& [service, upstreams] : view->upstreams) {
        // Entries may name any service, and each would remain as a series.
        if (view->config == nullptr || view->config->find_service(service) == nullptr) {
            continue;
        }
        families_->upstreams.Add({{"service", service}}).Set(static_cast<double>(upstreams.size()));
        const auto cold = std::ranges::count_if(
            upstreams, [now](const routed_upstream& each) { return each.is_cold(now); });
        families_->cold_upstreams.Add({{"service", service}}).Set(static_cast<double>(cold));
    }
    return prometheus::TextSerializer{}.Serialize(families_->registry.Collect());
}

} // namespace citronwick
