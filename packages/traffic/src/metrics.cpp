#include "citronwick/traffic/metrics.hpp"

#include "citronwick/control/control_plane.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace citronwick {

using prometheus::Counter;
using prometheus::Family;

struct metrics::families {
    prometheus::Registry registry;
    Family<Counter>& connection_ends = prometheus::BuildCounter()
                                           .Name("citronwick_caller_connections_ended_total")
                                           .Help("Connections of callers that ended, by cause")
                                           .Register(registry);
    Family<Counter>& requests = prometheus::BuildCounter()
                                    .Name("citronwick_requests_total")
                                    .Help("Requests by service, outcome and reason")
                                    .Register(registry);
    Family<Counter>& placements = prometheus::BuildCounter()
                                      .Name("citronwick_placements_total")
                                      .Help("Placement decisions by service and reason")
                                      .Register(registry);
    Family<Counter>& retries = prometheus::BuildCounter()
                                   .Name("citronwick_retries_total")
                                   .Help("Attempts beyond the first, by service")
                                   .Register(registry);
    Family<Counter>& prompt_tokens = prometheus::BuildCounter()
                                         .Name("citronwick_prompt_tokens_total")
                                         .Help("Prompt tokens that engines reported")
                                         .Register(registry);
    Family<Counter>& cached_tokens = prometheus::BuildCounter()
                                         .Name("citronwick_cached_prompt_tokens_total")
                                         .Help("Prompt tokens that engines served from their caches")
                                         .Register(registry);
    Family<prometheus::Histogram>& queue_wait = prometheus::BuildHistogram()
                                                    .Name("citronwick_queue_wait_seconds")
                                                    .Help("Time between arrival and placement")
                                                    .Register(registry);
    Family<prometheus::Gauge>& control_bytes = prometheus::BuildGauge()
                                                   .Name("citronwick_control_bytes")
                                                   .Help("Bytes spent on control since start, by kind")
                                                   .Register(registry);
    Family<prometheus::Gauge>& generation = prometheus::BuildGauge()
                                                .Name("citronwick_configuration_generation")
                                                .Help("Configuration generation in force")
                                                .Register(registry);
    Family<prometheus::Gauge>& live_routers = prometheus::BuildGauge()
                                                  .Name("citronwick_live_routers")
                                                  .Help("Routers that this one hears, itself included")
                                                  .Register(registry);
};

metrics::metrics() : families_{std::make_unique<families>()} {}

metrics::~metrics() = default;

void metrics::count_request(std::string_view service, outcome result, std::string_view reason) {
    families_->requests
        .Add({{"service", std::string{service}},
              {"outcome", std::string{to_text(result)}},
              {"reason", std::string{reason}}})
        .Increment();
}

void metrics::count_placement(std::string_view service, std::string_view reason) {
    families_->placements.Add({{"service", std::string{service}}, {"reason", std::string{reason}}})
        .Increment();
}

void metrics::count_retry(std::string_view service) {
    families_->retries.Add({{"service", std::string{service}}}).Increment();
}

void metrics::count_prompt_tokens(std::string_view service, double prompt_tokens, double cached_tokens) {
    families_->prompt_tokens.Add({{"service", std::string{service}}}).Increment(prompt_tokens);
    families_->cached_tokens.Add({{"service", std::string{service}}}).Increment(cached_tokens);
}

void metrics::observe_queue_wait(std::string_view service, duration waited) {
    const prometheus::Histogram::BucketBoundaries bounds{0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0};
    families_->queue_wait.Add({{"service", std::string{service}}}, bounds)
        .Observe(std::chrono::duration<double>{waited}.count());
}

void metrics::count_connection_end(std::string_view cause) {
    families_->connection_ends.Add({{"cause", std::string{cause}}}).Increment();
}

std::string metrics::page(const control_plane& control) {
    for (std::size_t kind = 0; kind < control_traffic_names.size(); ++kind) {
        families_->control_bytes.Add({{"kind", std::string{control_traffic_names.at(kind)}}})
            .Set(static_cast<double>(control.meter().bytes(static_cast<control_traffic>(kind))));
    }
    const auto view = control.view();
    families_->generation.Add({}).Set(view->config ? static_cast<double>(view->config->root.generation)
                                                   : 0.0);
    families_->live_routers.Add({}).Set(static_cast<double>(view->live_routers));
    return prometheus::TextSerializer{}.Serialize(families_->registry.Collect());
}

} // namespace citronwick
