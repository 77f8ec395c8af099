#include "citronwick/core/time.hpp"
#include "citronwick/ctl/commands.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <docopt/docopt.h>
#include <iostream>
#include <ranges>

namespace {

constexpr const char* usage = R"(citronctl: configures and operates a fleet of citronwick routers.

Usage:
  citronctl check FILE [--adapter NAME [--store ADDRESS]]
  citronctl plan FILE --kv ADDRESSES [--prefix PREFIX]
  citronctl apply FILE --kv ADDRESSES [--prefix PREFIX] [--preset NAME] [--base N] [--writer NAME] [--reason TEXT]
  citronctl preset list --kv ADDRESSES [--prefix PREFIX]
  citronctl preset use NAME --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl history --kv ADDRESSES [--prefix PREFIX]
  citronctl drain NAME --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl undrain NAME --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl evacuate DOMAIN --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl restore DOMAIN --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl status --routers ADDRESSES [--json]
  citronctl explain --chat ID --team NAME --model NAME --kv ADDRESSES --routers ADDRESSES [--prefix PREFIX]
  citronctl explain --request ID [--json] LOG...
  citronctl hash-key
  citronctl (-h | --help)

Commands:
  check        Check a declaration; with --adapter, one of routes in a platform's format, for
               errors, entries that no request can reach, limits that contradict each
               other and, with --store, what differs from the version in force.
  plan         Show how a declaration differs from the one in force.
  apply        Put a declaration in force atomically.
  preset list  List the presets; an asterisk marks the one in force.
  preset use   Put a preset in force.
  history      List the changes, newest first.
  drain        Send no new requests to an upstream; undrain reverts this.
  evacuate     Send no new requests to the upstreams of a failure domain; restore
               reverts this.
  status       Show routers and upstreams.
  explain      Show how a chat would be placed, or the timeline and outcome of
               a request from the routers' JSON log files.
  hash-key     Read a team's key from standard input and print its digest.

Options:
  --kv ADDRESSES       Servers of the key-value service, IP:PORT, separated by commas.
  --routers ADDRESSES  Operator addresses of routers, IP:PORT, separated by commas.
  --adapter NAME       Adapter of the platform whose store holds the declaration of routes.
  --store ADDRESS      Store of that platform, IP:PORT.
  --prefix PREFIX      Prefix of the fleet's keys [default: /citronwick].
  --preset NAME        Preset to put in force with the declaration.
  --base N             Generation that the change is based on; refused if another is in force.
  --writer NAME        Author of the change [default: operator].
  --reason TEXT        Reason for the change [default: ].
  --chat ID            Chat to explain.
  --team NAME          Team that the chat belongs to.
  --model NAME         Model that the chat uses.
  --request ID         Request identifier sent by the caller.
  --json               Print JSON.

Exit codes: 0 done, 1 a server did not respond or the outcome is unknown, 2 invalid
usage or declaration, 3 another change was committed first, nothing was changed.
)";

using arguments = std::map<std::string, docopt::value>;
using citronwick::endpoint;
using citronwick::exit_code;

std::string string_argument(const arguments& given, const std::string& name) {
    const auto& value = given.at(name);
    return value.isString() ? value.asString() : std::string{};
}

/// Parses addresses separated by commas.
/// @return false after printing an error if one is malformed
bool parse_addresses(const std::string& text, std::vector<endpoint>& target) {
    for (const auto part : text | std::views::split(',')) {
        const std::string_view address{part.begin(), part.end()};
        const auto parsed = citronwick::parse_endpoint(address);
        if (!parsed) {
            std::cerr << "\"" << address << "\" is not IP:PORT\n";
            return false;
        }
        target.push_back(*parsed);
    }
    return true;
}

std::string command_name(const arguments& given) {
    constexpr std::array single_words{"check",    "plan",    "apply",  "history", "drain",   "undrain",
                                      "evacuate", "restore", "status", "explain", "hash-key"};
    if (given.at("preset").asBool()) {
        return given.at("use").asBool() ? "preset use" : "preset list";
    }
    if (given.at("--request").isString()) {
        return "explain request";
    }
    const auto* const found =
        std::ranges::find_if(single_words, [&](const char* name) { return given.at(name).asBool(); });
    return *found;
}

int run(const arguments& given) {
    const std::string name = string_argument(given, "NAME");
    citronwick::command_options options{.file = string_argument(given, "FILE"),
                                        .name = name.empty() ? string_argument(given, "DOMAIN") : name,
                                        .key_prefix = string_argument(given, "--prefix"),
                                        .preset = string_argument(given, "--preset"),
                                        .writer = string_argument(given, "--writer"),
                                        .reason = string_argument(given, "--reason"),
                                        .chat = string_argument(given, "--chat"),
                                        .team = string_argument(given, "--team"),
                                        .model = string_argument(given, "--model"),
                                        .adapter = string_argument(given, "--adapter"),
                                        .request = string_argument(given, "--request"),
                                        .logs = given.at("LOG").asStringList(),
                                        .json = given.at("--json").asBool()};
    if (!parse_addresses(string_argument(given, "--kv"), options.key_value) ||
        !parse_addresses(string_argument(given, "--routers"), options.routers)) {
        return static_cast<int>(exit_code::usage);
    }
    std::vector<endpoint> stores;
    if (!parse_addresses(string_argument(given, "--store"), stores)) {
        return static_cast<int>(exit_code::usage);
    }
    if (!stores.empty()) {
        options.store = stores.front();
    }
    if (const std::string base = string_argument(given, "--base"); !base.empty()) {
        std::uint64_t generation = 0;
        const auto [end, error] = std::from_chars(base.data(), base.data() + base.size(), generation);
        if (error != std::errc{} || end != base.data() + base.size()) {
            std::cerr << "--base expects a generation number\n";
            return static_cast<int>(exit_code::usage);
        }
        options.base = generation;
    }
    return static_cast<int>(citronwick::run_command(command_name(given), options, std::cout, std::cerr));
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptArgumentError&) {
        std::cerr << usage;
        return static_cast<int>(exit_code::usage);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(exit_code::failed);
    }
}
