#include "citronwick/ctl/commands.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/ctl/declaration_diff.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/policy/load_bound.hpp"
#include "citronwick/policy/placement.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"
#include "router_pages.hpp"
#include "store_session.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ctime>
#include <fstream>
#include <iostream>
#include <set>
#include <spdlog/fmt/fmt.h>
#include <sstream>

namespace citronwick {

namespace {

namespace json = boost::json;

/// What every command works on.
struct command_context {
    const command_options& options;
    std::ostream& out;
    std::ostream& errors;
};

exit_code report(const command_context& command, const failure& error) {
    command.errors << to_text(error) << "\n";
    if (error.step == "check declaration" || error.step == "parse TOML") {
        return exit_code::usage;
    }
    return error.detail.starts_with("lost a race") ? exit_code::lost : exit_code::failed;
}

io_result<std::string> read_file(const std::string& file) {
    std::ifstream input{file, std::ios::binary};
    if (!input) {
        return failure{"read file", file, "cannot be opened"};
    }
    std::ostringstream text;
    text << input.rdbuf();
    return std::move(text).str();
}

io_result<declaration> parse(const std::string& text, const std::string& file) {
    return io_result_of<declaration>([&] { return declaration::parse(text, file); });
}

std::string utc_now() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), size};
}

/// A declaration's file with what it declares.
struct checked_file {
    std::string text;
    declaration declared;
};

/// Reads and checks the declaration; faults are printed.
/// @return nothing where there are any
std::optional<checked_file> read_declaration(const command_context& command) {
    auto text = read_file(command.options.file);
    if (text.has_error()) {
        command.errors << to_text(text.error()) << "\n";
        return std::nullopt;
    }
    auto parsed = parse(*text, command.options.file);
    if (parsed.has_error()) {
        command.errors << parsed.error().detail << "\n";
        return std::nullopt;
    }
    return checked_file{std::move(*text), std::move(*parsed)};
}

exit_code check(const command_context& command) {
    const auto checked = read_declaration(command);
    if (!checked) {
        return exit_code::usage;
    }
    const declaration* const parsed = &checked->declared;
    command.out << fmt::format("{}: ok ({} services, {} teams, {} presets)\n", command.options.file,
                               parsed->services().size(), parsed->teams().size(), parsed->presets().size());
    return exit_code::ok;
}

/// Refuses a change that was made from an older generation than the one in force.
std::optional<failure> stale_base(const command_options& options,
                                  const std::optional<stored_configuration>& base) {
    const std::uint64_t in_force = base ? base->value.root.generation : 0;
    if (!options.base || *options.base == in_force) {
        return std::nullopt;
    }
    return failure{
        "put configuration in force", "key-value service",
        fmt::format("lost a race; nothing was changed (in force: generation {}, yours is based on {})",
                    in_force, *options.base)};
}

exit_code commit(const command_context& command, store_session& session,
                 const std::optional<stored_configuration>& base, const configuration_change& change) {
    if (const auto stale = stale_base(command.options, base)) {
        return report(command, *stale);
    }
    const auto generation = session.run(session.store().commit(change, base ? &*base : nullptr));
    if (generation.has_error()) {
        return report(command, generation.error());
    }
    command.out << fmt::format("generation {} in force, preset {}\n", *generation, change.active_preset);
    return exit_code::ok;
}

configuration_change change_by(const command_options& options) {
    return {.writer = options.writer, .reason = options.reason, .time = utc_now()};
}

/// Preset that a declaration is applied with: the one asked for, else the one
/// in force, else the first one declared.
std::string chosen_preset(const command_options& options, const std::optional<stored_configuration>& base,
                          const declaration& declared) {
    if (!options.preset.empty()) {
        return options.preset;
    }
    return base ? base->value.root.active_preset : declared.presets().front().name;
}

exit_code apply(const command_context& command) {
    const auto checked = read_declaration(command);
    if (!checked) {
        return exit_code::usage;
    }
    store_session session{command.options};
    const auto base = session.run(session.store().load());
    if (base.has_error()) {
        return report(command, base.error());
    }
    auto change = change_by(command.options);
    change.text = checked->text;
    change.active_preset = chosen_preset(command.options, *base, checked->declared);
    change.drained = *base ? (*base)->value.root.drained : std::vector<std::string>{};
    if (checked->declared.find_preset(change.active_preset) == nullptr) {
        command.errors << "preset \"" << change.active_preset << "\" is not declared in "
                       << command.options.file << "\n";
        return exit_code::usage;
    }
    return commit(command, session, *base, change);
}

exit_code plan(const command_context& command) {
    const auto checked = read_declaration(command);
    if (!checked) {
        return exit_code::usage;
    }
    store_session session{command.options};
    const auto base = session.run(session.store().load());
    if (base.has_error()) {
        return report(command, base.error());
    }
    const auto changes = diff_declarations(*base ? (*base)->value.text : "", checked->text);
    for (const std::string& line : changes) {
        command.out << line << "\n";
    }
    const std::uint64_t generation = *base ? (*base)->value.root.generation : 0;
    command.out << (changes.empty() ? "no changes" : "changes") << " to generation " << generation
                << "; apply with --base " << generation << "\n";
    return exit_code::ok;
}

/// Loads the configuration in force; a failure where there is none.
io_result<stored_configuration> load_in_force(store_session& session) {
    auto base = session.run(session.store().load());
    if (base.has_error()) {
        return base.error();
    }
    if (!base->has_value()) {
        return failure{"read configuration", "key-value service", "none has been applied yet"};
    }
    return std::move(**base);
}

/// Commits a change that keeps the declaration and alters the root alone.
template <class Alter>
exit_code change_root(const command_context& command, Alter alter) {
    store_session session{command.options};
    const auto base = load_in_force(session);
    if (base.has_error()) {
        return report(command, base.error());
    }
    auto change = change_by(command.options);
    change.text = base->value.text;
    change.active_preset = base->value.root.active_preset;
    change.drained = base->value.root.drained;
    const std::string refusal = alter(change, base->value.declared);
    if (!refusal.empty()) {
        command.errors << refusal << "\n";
        return exit_code::usage;
    }
    return commit(command, session, *base, change);
}

exit_code preset_use(const command_context& command) {
    return change_root(
        command, [&](configuration_change& change, const declaration& declared) -> std::string {
            change.active_preset = command.options.name;
            if (declared.find_preset(command.options.name) != nullptr) {
                return {};
            }
            return "preset \"" + command.options.name + "\" is not declared; see citronctl preset list";
        });
}

exit_code drain(const command_context& command) {
    return change_root(command, [&](configuration_change& change, const declaration&) -> std::string {
        std::set<std::string> names{change.drained.begin(), change.drained.end()};
        names.insert(command.options.name);
        change.drained = {names.begin(), names.end()};
        return {};
    });
}

exit_code undrain(const command_context& command) {
    return change_root(command, [&](configuration_change& change, const declaration&) -> std::string {
        const bool was_drained = std::erase(change.drained, command.options.name) > 0;
        return was_drained ? "" : "upstream \"" + command.options.name + "\" is not drained";
    });
}

exit_code preset_list(const command_context& command) {
    store_session session{command.options};
    const auto base = load_in_force(session);
    if (base.has_error()) {
        return report(command, base.error());
    }
    for (const preset& each : base->value.declared.presets()) {
        const bool active = each.name == base->value.root.active_preset;
        command.out << fmt::format("{} {:<16} placement={} skew_target={} skew_limit={}\n",
                                   active ? "*" : " ", each.name, each.placement, each.skew_target,
                                   each.skew_limit);
    }
    return exit_code::ok;
}

exit_code history(const command_context& command) {
    constexpr std::size_t most = 50;
    store_session session{command.options};
    const auto roots = session.run(session.store().history(most));
    if (roots.has_error()) {
        return report(command, roots.error());
    }
    for (const configuration_root& root : *roots) {
        command.out << fmt::format("{:>6} {} {:<16} preset={} {}\n", root.generation, root.time, root.writer,
                                   root.active_preset, root.reason);
    }
    return exit_code::ok;
}

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

exit_code explain(const command_context& command) {
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

exit_code hash_key(const command_context& command) {
    std::string key;
    std::getline(std::cin, key);
    command.out << sha256_hex(key) << "\n";
    return exit_code::ok;
}

struct named_command {
    std::string_view name;
    exit_code (*run)(const command_context&);
};

constexpr std::array commands{
    named_command{"check", &check},
    named_command{"plan", &plan},
    named_command{"apply", &apply},
    named_command{"preset use", &preset_use},
    named_command{"preset list", &preset_list},
    named_command{"history", &history},
    named_command{"drain", &drain},
    named_command{"undrain", &undrain},
    named_command{"status", &status},
    named_command{"explain", &explain},
    named_command{"hash-key", &hash_key},
};

} // namespace

exit_code run_command(std::string_view name, const command_options& options, std::ostream& out,
                      std::ostream& errors) {
    const auto* const found = std::ranges::find(commands, name, &named_command::name);
    if (found == commands.end()) {
        errors << "unknown command\n";
        return exit_code::usage;
    }
    return found->run({options, out, errors});
}

} // namespace citronwick
