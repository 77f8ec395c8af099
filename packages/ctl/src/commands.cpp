#include "citronwick/ctl/commands.hpp"

#include "check_routing.hpp"
#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/ctl/declaration_diff.hpp"
#include "command_context.hpp"
#include "request_timeline.hpp"
#include "router_commands.hpp"
#include "store_session.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace citronwick {

namespace {

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

/// Text of a valid declaration with its parsed form.
struct parsed_file {
    std::string text;
    declaration declared;
};

/// Reads and validates the declaration.
/// @return nullopt after printing the errors if it is invalid
std::optional<parsed_file> read_declaration(const command_context& command) {
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
    return parsed_file{std::move(*text), std::move(*parsed)};
}

exit_code check(const command_context& command) {
    if (!command.options.adapter.empty()) {
        return check_routing(command);
    }
    const auto file = read_declaration(command);
    if (!file) {
        return exit_code::usage;
    }
    const declaration& declared = file->declared;
    command.out << fmt::format("{}: ok ({} services, {} teams, {} presets)\n", command.options.file,
                               declared.services().size(), declared.teams().size(),
                               declared.presets().size());
    return exit_code::ok;
}

/// Checks the generation that a change is based on, if one was given.
/// @return a failure if another generation is in force
std::optional<failure> check_base(const command_options& options,
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
    if (const auto mismatch = check_base(command.options, base)) {
        return report_failure(command, *mismatch);
    }
    const auto generation = session.run(session.store().commit(change, base ? &*base : nullptr));
    if (generation.has_error()) {
        return report_failure(command, generation.error());
    }
    command.out << fmt::format("generation {} in force, preset {}\n", *generation, change.active_preset);
    return exit_code::ok;
}

configuration_change make_change(const command_options& options) {
    return {.writer = options.writer, .reason = options.reason, .time = utc_now()};
}

/// Preset to activate with a declaration: the one given as an option, else the one
/// in force, else the first one declared.
std::string select_preset(const command_options& options, const std::optional<stored_configuration>& base,
                          const declaration& declared) {
    if (!options.preset.empty()) {
        return options.preset;
    }
    return base ? base->value.root.active_preset : declared.presets().front().name;
}

exit_code apply(const command_context& command) {
    const auto file = read_declaration(command);
    if (!file) {
        return exit_code::usage;
    }
    store_session session{command.options};
    const auto base = session.run(session.store().load());
    if (base.has_error()) {
        return report_failure(command, base.error());
    }
    auto change = make_change(command.options);
    change.text = file->text;
    change.active_preset = select_preset(command.options, *base, file->declared);
    if (*base) {
        change.drained = (*base)->value.root.drained;
        change.evacuated = (*base)->value.root.evacuated;
    }
    if (file->declared.find_preset(change.active_preset) == nullptr) {
        command.errors << "preset \"" << change.active_preset << "\" is not declared in "
                       << command.options.file << "\n";
        return exit_code::usage;
    }
    return commit(command, session, *base, change);
}

exit_code plan(const command_context& command) {
    const auto file = read_declaration(command);
    if (!file) {
        return exit_code::usage;
    }
    store_session session{command.options};
    const auto base = session.run(session.store().load());
    if (base.has_error()) {
        return report_failure(command, base.error());
    }
    const auto changes = diff_declarations(*base ? (*base)->value.text : "", file->text);
    for (const std::string& line : changes) {
        command.out << line << "\n";
    }
    const std::uint64_t generation = *base ? (*base)->value.root.generation : 0;
    command.out << (changes.empty() ? "no changes" : "changes") << " to generation " << generation
                << "; apply with --base " << generation << "\n";
    return exit_code::ok;
}

/// Commits a change of the configuration root that keeps the declaration.
/// @param modify applies the change; returns an error message to cancel it
template <class Modify>
exit_code change_root(const command_context& command, Modify modify) {
    store_session session{command.options};
    const auto base = load_in_force(session);
    if (base.has_error()) {
        return report_failure(command, base.error());
    }
    auto change = make_change(command.options);
    change.text = base->value.text;
    change.active_preset = base->value.root.active_preset;
    change.drained = base->value.root.drained;
    change.evacuated = base->value.root.evacuated;
    const std::string error = modify(change, base->value.declared);
    if (!error.empty()) {
        command.errors << error << "\n";
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

/// Adds the name that the command gives to a list of the configuration root.
exit_code add_name(const command_context& command, std::vector<std::string> configuration_change::* list) {
    return change_root(command, [&](configuration_change& change, const declaration&) -> std::string {
        std::set<std::string> names{(change.*list).begin(), (change.*list).end()};
        names.insert(command.options.name);
        change.*list = {names.begin(), names.end()};
        return {};
    });
}

/// Removes the name that the command gives from a list of the configuration root.
/// @param missing what the error message says of a name that is not in the list
exit_code remove_name(const command_context& command, std::vector<std::string> configuration_change::* list,
                      std::string_view missing) {
    return change_root(command, [&](configuration_change& change, const declaration&) -> std::string {
        const bool was_listed = std::erase(change.*list, command.options.name) > 0;
        return was_listed ? "" : fmt::format("\"{}\" {}", command.options.name, missing);
    });
}

exit_code drain(const command_context& command) {
    return add_name(command, &configuration_change::drained);
}

exit_code undrain(const command_context& command) {
    return remove_name(command, &configuration_change::drained, "is not a drained upstream");
}

exit_code evacuate(const command_context& command) {
    return add_name(command, &configuration_change::evacuated);
}

exit_code restore(const command_context& command) {
    return remove_name(command, &configuration_change::evacuated, "is not an evacuated failure domain");
}

exit_code preset_list(const command_context& command) {
    store_session session{command.options};
    const auto base = load_in_force(session);
    if (base.has_error()) {
        return report_failure(command, base.error());
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
    constexpr std::size_t max_entries = 50;
    store_session session{command.options};
    const auto roots = session.run(session.store().history(max_entries));
    if (roots.has_error()) {
        return report_failure(command, roots.error());
    }
    for (const configuration_root& root : *roots) {
        command.out << fmt::format("{:>6} {} {:<16} preset={} {}\n", root.generation, root.time, root.writer,
                                   root.active_preset, root.reason);
    }
    return exit_code::ok;
}

exit_code hash_key(const command_context& command) {
    std::string key;
    std::getline(std::cin, key);
    command.out << sha256_hex(key) << "\n";
    return exit_code::ok;
}

/// A command with the words that select it.
struct command_entry {
    std::string_view name;
    exit_code (*run)(const command_context&);
};

constexpr std::array commands{
    command_entry{"check", &check},
    command_entry{"plan", &plan},
    command_entry{"apply", &apply},
    command_entry{"preset use", &preset_use},
    command_entry{"preset list", &preset_list},
    command_entry{"history", &history},
    command_entry{"drain", &drain},
    command_entry{"undrain", &undrain},
    command_entry{"evacuate", &evacuate},
    command_entry{"restore", &restore},
    command_entry{"status", &status},
    command_entry{"explain", &explain_chat},
    command_entry{"explain request", &explain_request},
    command_entry{"hash-key", &hash_key},
};

} // namespace

exit_code run_command(std::string_view name, const command_options& options, std::ostream& out,
                      std::ostream& errors) {
    const auto* const found = std::ranges::find(commands, name, &command_entry::name);
    if (found == commands.end()) {
        errors << "unknown command\n";
        return exit_code::usage;
    }
    return found->run({options, out, errors});
}

} // namespace citronwick
