#include "citronwick/core/time.hpp"
#include "citronwick/ctl/commands.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <docopt/docopt.h>
#include <iostream>
#include <ranges>

namespace {

constexpr const char* usage = R"(citronctl: declares and steers a fleet of citronwick routers.

Usage:
  citronctl check FILE
  citronctl plan FILE --kv ADDRESSES [--prefix PREFIX]
  citronctl apply FILE --kv ADDRESSES [--prefix PREFIX] [--preset NAME] [--base N] [--writer NAME] [--reason TEXT]
  citronctl preset list --kv ADDRESSES [--prefix PREFIX]
  citronctl preset use NAME --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl history --kv ADDRESSES [--prefix PREFIX]
  citronctl drain NAME --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl undrain NAME --kv ADDRESSES [--prefix PREFIX] [--base N] [--writer NAME] [--reason TEXT]
  citronctl status --routers ADDRESSES [--json]
  citronctl explain --chat ID --team NAME --model NAME --kv ADDRESSES --routers ADDRESSES [--prefix PREFIX]
  citronctl explain --request ID [--json] LOG...
  citronctl hash-key
  citronctl (-h | --help)

Commands:
  check        Check a declaration.
  plan         Show how a declaration differs from what is in force.
  apply        Put a declaration in force, all of it or nothing.
  preset list  List the presets; the one in force is marked.
  preset use   Put a preset in force.
  history      List the changes, the newest first.
  drain        Give an upstream no new work; undrain takes it back.
  status       Show routers and upstreams.
  explain      Show why a chat would go where it goes, or what became of a
               request, from the routers' log files in JSON.
  hash-key     Read a team's key from standard input and print its digest.

Options:
  --kv ADDRESSES       Key-value service, IP:PORT, several with commas.
  --routers ADDRESSES  Operators' addresses of routers, IP:PORT, several with commas.
  --prefix PREFIX      Prefix of the fleet's keys [default: /citronwick].
  --preset NAME        Preset to put in force with the declaration.
  --base N             Generation that the change was made from; refused if another is in force.
  --writer NAME        Who makes the change [default: operator].
  --reason TEXT        Why the change is made [default: ].
  --chat ID            Chat to explain.
  --team NAME          Team that the chat belongs to.
  --model NAME         Model that the chat uses.
  --request ID         Identifier of the request, as the caller sent it.
  --json               Print JSON.

Exit codes: 0 done, 1 something did not answer, 2 bad usage or a faulty
declaration, 3 another change came first and nothing was changed.
)";

using arguments = std::map<std::string, docopt::value>;
using citronwick::endpoint;
using citronwick::exit_code;

std::string text_of(const arguments& given, const std::string& name) {
    const auto& value = given.at(name);
    return value.isString() ? value.asString() : std::string{};
}

/// @return false where an address is malformed
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

std::string command_of(const arguments& given) {
    constexpr std::array single{"check",   "plan",   "apply",   "history", "drain",
                                "undrain", "status", "explain", "hash-key"};
    if (given.at("preset").asBool()) {
        return given.at("use").asBool() ? "preset use" : "preset list";
    }
    if (given.at("--request").isString()) {
        return "explain request";
    }
    const auto* const found =
        std::ranges::find_if(single, [&](const char* name) { return given.at(name).asBool(); });
    return *found;
}

int run(const arguments& given) {
    citronwick::command_options options{.file = text_of(given, "FILE"),
                                        .name = text_of(given, "NAME"),
                                        .key_prefix = text_of(given, "--prefix"),
                                        .preset = text_of(given, "--preset"),
                                        .writer = text_of(given, "--writer"),
                                        .reason = text_of(given, "--reason"),
                                        .chat = text_of(given, "--chat"),
                                        .team = text_of(given, "--team"),
                                        .model = text_of(given, "--model"),
                                        .request = text_of(given, "--request"),
                                        .logs = given.at("LOG").asStringList(),
                                        .json = given.at("--json").asBool()};
    if (!parse_addresses(text_of(given, "--kv"), options.key_value) ||
        !parse_addresses(text_of(given, "--routers"), options.routers)) {
        return static_cast<int>(exit_code::usage);
    }
    if (const std::string base = text_of(given, "--base"); !base.empty()) {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(base.data(), base.data() + base.size(), number);
        if (error != std::errc{} || end != base.data() + base.size()) {
            std::cerr << "--base expects a generation number\n";
            return static_cast<int>(exit_code::usage);
        }
        options.base = number;
    }
    return static_cast<int>(citronwick::run_command(command_of(given), options, std::cout, std::cerr));
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
