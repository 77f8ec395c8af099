#include "router_commands.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/policy/load_bound.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"
#include "command_context.hpp"
#include "router_pages.hpp"
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

std::string skew_of(const json::array& upstreams) {
    double total = 0.0;
    double most = 0.0;
    for (const json::value& each : upstreams) {
        const double load = number_member(each.as_object(), "in_flight");
        total += load;
        most = std::max(most, load);
    }
    return total == 0.0 ? "-" : fmt::format("{:.2f}", most * static_cast<double>(upstreams.size()) / total);
}

void print_upstreams(const command_context& command, const json::object& services) {
    for (const auto& [name, value] : services) {
        const json::array& upstreams = value.as_array();
        command.out << fmt::format("\nservice {} (skew {})\n", std::string_view{name}, skew_of(upstreams));
        command.out << fmt::format("  {:<20} {:<16} {:<12} {:>9}\n", "upstream", "failure domain", "state",
                                   "in flight");
        for (const json::value& each : upstreams) {
            const auto& upstream = each.as_object();
            command.out << fmt::format("  {:<20} {:<16} {:<12} {:>9.1f}\n", string_member(upstream, "name"),
                                       string_member(upstream, "failure_domain"),
                                       string_member(upstream, "state"),
                                       number_member(upstream, "in_flight"));
        }
    }
}

void print_routers(const command_context& command, const std::vector<router_page>& pages) {
    command.out << fmt::format("{:<24} {:>10} {:<14} {:>6} {:>14} {:>8}\n", "router", "generation", "preset",
                               "hears", "control bytes", "reuse");
    for (const router_page& page : pages) {
        if (page.view.has_error()) {
            command.out << fmt::format("{:<24} {}\n", to_text(page.address), page.view.error().detail);
            continue;
        }
        const std::string reuse =
            page.prompt_tokens == 0.0 ? "-" : fmt::format("{:.2f}", page.cached_tokens / page.prompt_tokens);
        command.out << fmt::format("{:<24} {:>10} {:<14} {:>6} {:>14.0f} {:>8}\n", to_text(page.address),
                                   integer_member(*page.view, "generation"),
                                   string_member(*page.view, "preset"),
                                   integer_member(*page.view, "live_routers"), page.control_bytes, reuse);
    }
}

} // namespace

exit_code status(const command_context& command) {
    const auto pages = read_router_pages(command.options);
    const auto answered =
        std::ranges::find_if(pages, [](const router_page& page) { return page.view.has_value(); });
    if (command.options.json) {
        json::object all;
        for (const router_page& page : pages) {
            all[to_text(page.address)] = page.view.has_value()
                                             ? json::value{*page.view}
                                             : json::value{json::object{{"error", page.view.error().detail}}};
        }
        command.out << json::serialize(all) << "\n";
    } else {
        print_routers(command, pages);
        if (answered != pages.end()) {
            print_upstreams(command, (*answered->view).at("services").as_object());
        }
    }
    const bool all_answered =
        std::ranges::all_of(pages, [](const router_page& page) { return page.view.has_value(); });
    return all_answered && !pages.empty() ? exit_code::ok : exit_code::failed;
}

namespace {

availability parse_availability(const std::string& state) {
    constexpr std::array all{availability::leaving, availability::unreachable, availability::excluded};
    const auto* const found =
        std::ranges::find_if(all, [&](availability each) { return to_text(each) == state; });
    return found == all.end() ? availability::ready : *found;
}

std::vector<candidate> candidates_of(const json::array& upstreams, std::vector<std::string>& names) {
    std::vector<candidate> candidates;
    names.reserve(upstreams.size());
    for (const json::value& each : upstreams) {
        const auto& upstream = each.as_object();
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
        return report(command, base.error());
    }
    const service* const target = base->value.declared.find_service_of_model(options.model);
    const auto pages = read_router_pages(options);
    if (target == nullptr || pages.empty() || pages.front().view.has_error()) {
        command.errors << (target == nullptr ? "no service serves model \"" + options.model + "\""
                                             : std::string{"the router's view could not be read"})
                       << "\n";
        return target == nullptr ? exit_code::usage : exit_code::failed;
    }
    const auto* const upstreams =
        array_member((*pages.front().view).at("services").as_object(), target->name);
    std::vector<std::string> names;
    const auto candidates = candidates_of(upstreams == nullptr ? json::array{} : *upstreams, names);
    const preset& policy = base->value.active;
    const std::uint64_t chat = hash64(options.chat, hash64(options.team));
    const auto now = clock::now();
    const load_bound bound{candidates, policy, now};
    command.out << fmt::format("preset {} placement {} skew_target {}\n", policy.name, policy.placement,
                               policy.skew_target);
    int rank = 0;
    for (const std::size_t index : rendezvous_ranking(chat, candidates)) {
        const candidate& each = candidates[index];
        const std::string state =
            each.state == availability::ready ? "ready" : std::string{to_text(each.state)};
        command.out << fmt::format("{:>3}. {:<20} {:<12} in flight {:>5.1f} of at most {:>5.1f}\n", ++rank,
                                   each.name, state, each.in_flight, bound.limit(each));
    }
    const auto decision =
        registry<placement_policy>::instance().make(policy.placement)->place({chat}, candidates, policy, now);
    command.out << "without a hint: "
                << (decision.index ? std::string{candidates[*decision.index].name} : std::string{"none"})
                << " (" << decision.reason << ")\n";
    return exit_code::ok;
}

} // namespace citronwick
