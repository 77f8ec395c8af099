#include "router_commands.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/core/printable_text.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/policy/load_bound.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"
#include "command_context.hpp"
#include "router_status.hpp"
#include "store_session.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <spdlog/fmt/fmt.h>

namespace citronwick {

namespace {

namespace json = boost::json;

/// Entries of one service's upstreams in a view; none of another type.
std::vector<json::object> upstreams_of(const json::object& services, std::string_view name) {
    std::vector<json::object> upstreams;
    for_each_object(services, name, [&](const json::object& each) { upstreams.push_back(each); });
    return upstreams;
}

/// Largest load over mean load of the upstreams, "-" if there is no load.
std::string format_skew(const std::vector<json::object>& upstreams) {
    double total = 0.0;
    double max_load = 0.0;
    for (const json::object& each : upstreams) {
        const double load = number_member(each, "in_flight");
        total += load;
        max_load = std::max(max_load, load);
    }
    return total == 0.0 ? "-"
                        : fmt::format("{:.2f}", max_load * static_cast<double>(upstreams.size()) / total);
}

void print_upstreams(const command_context& command, const json::object& services) {
    for (const auto& service : services) {
        const std::string_view name{service.key()};
        const auto upstreams = upstreams_of(services, name);
        command.out << fmt::format("\nservice {} (skew {})\n", printable(name), format_skew(upstreams));
        command.out << fmt::format("  {:<20} {:<16} {:<12} {:>9}\n", "upstream", "failure domain", "state",
                                   "in flight");
        for (const json::object& each : upstreams) {
            command.out << fmt::format(
                "  {:<20} {:<16} {:<12} {:>9.1f}\n", printable(string_member(each, "name")),
                printable(string_member(each, "failure_domain")), printable(string_member(each, "state")),
                number_member(each, "in_flight"));
        }
    }
}

void print_evacuated(const command_context& command, const json::object& view) {
    for (const std::string& domain : string_array_member(view, "evacuated")) {
        command.out << "\nfailure domain " << printable(domain) << " is evacuated\n";
    }
}

void print_routers(const command_context& command, const std::vector<router_status>& routers) {
    command.out << fmt::format("{:<24} {:>10} {:<14} {:>6} {:>14} {:>8}\n", "router", "generation", "preset",
                               "hears", "control bytes", "reuse");
    for (const router_status& router : routers) {
        if (router.view.has_error()) {
            command.out << fmt::format("{:<24} {}\n", to_text(router.address), router.view.error().detail);
            continue;
        }
        const std::string reuse = router.prompt_tokens == 0.0
                                      ? "-"
                                      : fmt::format("{:.2f}", router.cached_tokens / router.prompt_tokens);
        command.out << fmt::format("{:<24} {:>10} {:<14} {:>6} {:>14.0f} {:>8}\n", to_text(router.address),
                                   integer_member(*router.view, "generation"),
                                   printable(string_member(*router.view, "preset")),
                                   integer_member(*router.view, "live_routers"), router.control_bytes, reuse);
    }
}

} // namespace

exit_code status(const command_context& command) {
    const auto routers = read_router_statuses(command.options);
    const auto first_reachable =
        std::ranges::find_if(routers, [](const router_status& router) { return router.view.has_value(); });
    if (command.options.json) {
        json::object all;
        for (const router_status& router : routers) {
            all[to_text(router.address)] =
                router.view.has_value() ? json::value{*router.view}
                                        : json::value{json::object{{"error", router.view.error().detail}}};
        }
        command.out << json::serialize(all) << "\n";
    } else {
        print_routers(command, routers);
        if (first_reachable != routers.end()) {
            print_evacuated(command, *first_reachable->view);
            if (const auto* const services = object_member(*first_reachable->view, "services")) {
                print_upstreams(command, *services);
            }
        }
    }
    const bool all_reachable =
        std::ranges::all_of(routers, [](const router_status& router) { return router.view.has_value(); });
    return all_reachable && !routers.empty() ? exit_code::ok : exit_code::failed;
}

namespace {

availability parse_availability(const std::string& state) {
    constexpr std::array unavailable{availability::leaving, availability::unreachable,
                                     availability::excluded};
    const auto* const found =
        std::ranges::find_if(unavailable, [&](availability each) { return to_text(each) == state; });
    return found == unavailable.end() ? availability::ready : *found;
}

/// Builds placement candidates with equal weights; each refers to its entry in `names`.
std::vector<candidate> make_candidates(const std::vector<json::object>& upstreams,
                                       std::vector<std::string>& names) {
    std::vector<candidate> candidates;
    names.reserve(upstreams.size());
    for (const json::object& upstream : upstreams) {
        const std::string& name = names.emplace_back(string_member(upstream, "name"));
        candidates.push_back({hash64(name),
                              name,
                              1.0,
                              number_member(upstream, "in_flight"),
                              parse_availability(string_member(upstream, "state")),
                              {}});
    }
    return candidates;
}

} // namespace

exit_code explain_chat(const command_context& command) {
    const command_options& options = command.options;
    store_session session{options};
    const auto base = load_in_force(session);
    if (base.has_error()) {
        return report_failure(command, base.error());
    }
    const service* const served_by = base->value.declared.find_service_of_model(options.model);
    const auto routers = read_router_statuses(options);
    if (served_by == nullptr || routers.empty() || routers.front().view.has_error()) {
        command.errors << (served_by == nullptr
                               ? "no service serves model \"" + options.model + "\""
                               : std::string{"the view of the first router could not be read"})
                       << "\n";
        return served_by == nullptr ? exit_code::usage : exit_code::failed;
    }
    const auto* const services = object_member(*routers.front().view, "services");
    std::vector<std::string> names;
    const auto candidates = make_candidates(
        services == nullptr ? std::vector<json::object>{} : upstreams_of(*services, served_by->name), names);
    const preset& settings = base->value.active;
    const std::uint64_t chat_hash = hash64(options.chat, hash64(options.team));
    const auto now = clock::now();
    const load_bound bound{candidates, settings, now};
    command.out << fmt::format("preset {} placement {} skew_target {}\n", settings.name, settings.placement,
                               settings.skew_target);
    int rank = 0;
    for (const std::size_t index : rendezvous_ranking(chat_hash, candidates)) {
        const candidate& each = candidates[index];
        const std::string state =
            each.state == availability::ready ? "ready" : std::string{to_text(each.state)};
        command.out << fmt::format("{:>3}. {:<20} {:<12} in flight {:>5.1f} of at most {:>5.1f}\n", ++rank,
                                   each.name, state, each.in_flight, bound.limit(each));
    }
    const auto decision = registry<placement_policy>::instance()
                              .make(settings.placement)
                              ->place({chat_hash}, candidates, settings, now);
    command.out << "without a hint: "
                << (decision.index ? std::string{candidates[*decision.index].name} : std::string{"none"})
                << " (" << decision.reason << ")\n";
    return exit_code::ok;
}

} // namespace citronwick
