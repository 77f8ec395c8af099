#include "check_routing.hpp"

#include "citronwick/config/declaration_review.hpp"
#include "citronwick/config/routing_configuration.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/fleet/platform_adapter.hpp"
#include "command_context.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <ostream>
#include <spdlog/fmt/fmt.h>

namespace citronwick {

namespace {

/// Reads the declaration in force from the platform's store.
io_result<routing_declaration> read_in_force(const platform_adapter& adapter,
                                             const command_options& options) {
    asio::io_context context{1};
    const auto store = adapter.connect_store(context.get_executor(), *options.store, options.timeout);
    auto pending = asio::co_spawn(context, store->read(adapter.layout().configuration_key), asio::use_future);
    context.run();
    auto entry = pending.get();
    if (entry.has_error()) {
        return entry.error();
    }
    if (!*entry) {
        return failure{"read declaration", to_text(*options.store), "none is in force"};
    }
    return adapter.decode_configuration((*entry)->value);
}

exit_code print_differences(const command_context& command, const platform_adapter& adapter,
                            const routing_declaration& declared) {
    const auto in_force = read_in_force(adapter, command.options);
    if (in_force.has_error()) {
        return report_failure(command, in_force.error());
    }
    const auto lines = compare_declarations(*in_force, declared);
    for (const std::string& line : lines) {
        command.out << line << "\n";
    }
    command.out << (lines.empty() ? "no changes" : "changes") << " to version " << in_force->version << "\n";
    if (declared.version <= in_force->version) {
        command.errors << fmt::format("version {} is not above {}, which is in force\n", declared.version,
                                      in_force->version);
        return exit_code::usage;
    }
    return exit_code::ok;
}

} // namespace

exit_code check_routing(const command_context& command) {
    const auto adapter = registry<platform_adapter>::instance().make(command.options.adapter);
    if (!adapter) {
        command.errors << "there is no adapter \"" << command.options.adapter << "\"\n";
        return exit_code::usage;
    }
    const auto text = read_file(command.options.file);
    if (text.has_error()) {
        command.errors << to_text(text.error()) << "\n";
        return exit_code::usage;
    }
    const auto declared = adapter->decode_configuration(*text);
    if (declared.has_error()) {
        command.errors << to_text(declared.error()) << "\n";
        return exit_code::usage;
    }
    const auto findings = review_declaration(*declared);
    for (const review_finding& each : findings) {
        command.out << fmt::format("{}: {}: {}\n", to_text(each.type), each.entry, each.detail);
    }
    const bool has_errors =
        std::ranges::find(findings, review_finding::kind::error, &review_finding::type) != findings.end();
    command.out << fmt::format("{}: version {}, {} routes, {} services, {} teams, {} findings\n",
                               command.options.file, declared->version, declared->routes.size(),
                               declared->services.size(), declared->teams.size(), findings.size());
    const auto compared =
        command.options.store ? print_differences(command, *adapter, *declared) : exit_code::ok;
    return has_errors ? exit_code::usage : compared;
}

} // namespace citronwick
