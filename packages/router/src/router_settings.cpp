#include "citronwick/router/router_settings.hpp"

#include "citronwick/config/table_reader.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/fleet/platform_adapter.hpp"

#include <algorithm>
#include <array>
#include <fstream>

namespace citronwick {

namespace {

constexpr std::size_t min_key_bytes = 16;
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warn", "error"};

void read_vm(const toml::table& table, router_settings& settings, problem_list& problems) {
    table_reader reader{table, "vm", problems};
    reader.require("name", settings.control.vm)
        .require("region", settings.control.region)
        .require("failure_domain", settings.control.failure_domain)
        .read("source_address", settings.source_address);
    reader.finish();
    if (!settings.source_address.empty() && !parse_endpoint(settings.source_address + ":0")) {
        reader.reject("source_address", "expected an IP address");
    }
}

void read_listen(const toml::table& table, router_settings& settings, problem_list& problems) {
    table_reader reader{table, "listen", problems};
    reader.require("callers", settings.traffic.callers)
        .require("operators", settings.traffic.operators)
        .require("fleet", settings.control.fleet_listen)
        .read("port_file", settings.port_file)
        .read("in_use_timeout", settings.in_use_timeout);
    reader.finish();
}

std::string read_first_line(const std::string& file) {
    std::ifstream input{file};
    std::string line;
    std::getline(input, line);
    return line;
}

/// Whether the table [platform] names an adapter.
bool uses_adapter(const toml::table& document) {
    return document["platform"]["adapter"].is_string();
}

void read_fleet(const toml::table& table, router_settings& settings, problem_list& problems) {
    std::string key_file;
    table_reader reader{table, "fleet", problems};
    reader.read("key", settings.control.fleet_key)
        .read("key_file", key_file)
        .read("seeds", settings.control.seeds)
        .read("advertise", settings.control.advertised_address)
        .read("control_bytes_per_second", settings.control.control_bytes_per_second)
        .read("probe_interval", settings.control.probe_interval);
    reader.finish();
    if (!key_file.empty()) {
        settings.control.fleet_key = read_first_line(key_file);
    }
    if (!settings.fleet_key_in_store && settings.control.fleet_key.size() < min_key_bytes) {
        reader.reject("key", "expected at least 16 characters, in key or in the first line of key_file");
    }
}

/// Reads the settings of a fleet whose declaration comes from the platform's
/// store through an adapter.
void read_routing(const toml::table& table, router_settings& settings, problem_list& problems) {
    routing_settings& routing = settings.routing;
    table_reader reader{table, "platform", problems};
    reader.require("adapter", routing.platform)
        .require("store", routing.store)
        .read("store_timeout", routing.store_timeout)
        .read("key_lifetime", routing.key_lifetime)
        .read("lapse_grace", routing.lapse_grace)
        .read("retry_share", routing.retries.share)
        .read("retry_extra", routing.retries.extra)
        .read("retry_window", routing.retries.window)
        .read("load_multiple", routing.placement.load_multiple)
        .read("fetch_cost", routing.placement.fetch_cost);
    reader.finish();
    const auto adapters = registry<platform_adapter>::instance().names();
    if (std::ranges::find(adapters, routing.platform) == adapters.end()) {
        reader.reject("adapter", "expected one of " + std::to_string(adapters.size()) + " known adapters");
    }
    routing.vm = settings.control.vm;
    routing.region = settings.control.region;
    routing.failure_domain = settings.control.failure_domain;
    routing.fleet_listen = settings.control.fleet_listen;
    routing.control_bytes_per_second = settings.control.control_bytes_per_second;
}

void read_platform(const toml::table& table, router_settings& settings, problem_list& problems) {
    if (table.contains("adapter")) {
        read_routing(table, settings, problems);
        return;
    }
    std::chrono::milliseconds claim_lifetime = settings.control.claim_lifetime;
    table_reader reader{table, "platform", problems};
    reader.require("key_value", settings.control.key_value_servers)
        .require("vm_list", settings.control.vm_list_server)
        .read("key_prefix", settings.control.key_prefix)
        .read("timeout", settings.control.platform_timeout)
        .read("vm_list_interval", settings.control.vm_list_interval)
        .read("config_check_interval", settings.control.config_check_interval)
        .read("claim_lifetime", claim_lifetime);
    reader.finish();
    settings.control.claim_lifetime = std::chrono::duration_cast<std::chrono::seconds>(claim_lifetime);
    if (claim_lifetime < std::chrono::seconds{1}) {
        reader.reject("claim_lifetime", "expected at least \"1s\"");
    }
    if (settings.control.key_value_servers.empty()) {
        reader.reject("key_value", "expected at least one address");
    }
}

void read_limits(const toml::table& table, router_settings& settings, problem_list& problems) {
    traffic_settings& limits = settings.traffic;
    table_reader reader{table, "limits", problems};
    reader.read("threads", limits.threads)
        .read("header_bytes", limits.header_bytes)
        .read("body_bytes", limits.body_bytes)
        .read("answer_bytes", limits.answer_bytes)
        .read("connections", limits.connections)
        .read("descriptors", limits.descriptors)
        .read("memory_mb", limits.memory_mb)
        .read("caller_idle_timeout", limits.caller_idle_timeout)
        .read("caller_read_timeout", limits.caller_read_timeout)
        .read("caller_write_timeout", limits.caller_write_timeout)
        .read("pooled_connection_age", limits.pooled_connection_age);
    reader.finish();
    if (limits.threads == 0) {
        reader.reject("threads", "expected at least 1");
    }
}

void read_shutdown(const toml::table& table, router_settings& settings, problem_list& problems) {
    table_reader reader{table, "shutdown", problems};
    reader.read("balancer_lag", settings.traffic.balancer_lag)
        .read("drain_limit", settings.traffic.drain_limit)
        .read("grace", settings.traffic.grace);
    reader.finish();
}

void read_log(const toml::table& table, router_settings& settings, problem_list& problems) {
    table_reader reader{table, "log", problems};
    reader.read("format", settings.log_format).read("level", settings.log_level);
    reader.finish();
    if (settings.log_format != "key_value" && settings.log_format != "json") {
        reader.reject("format", R"(expected "key_value" or "json")");
    }
    if (std::ranges::find(log_levels, settings.log_level) == log_levels.end()) {
        reader.reject("level", R"(expected "debug", "info", "warn" or "error")");
    }
}

/// A table of the settings file with the function that reads it.
struct settings_section {
    std::string_view name;
    void (*read)(const toml::table&, router_settings&, problem_list&);
};

constexpr std::array sections{
    settings_section{"vm", &read_vm},         settings_section{"listen", &read_listen},
    settings_section{"fleet", &read_fleet},   settings_section{"platform", &read_platform},
    settings_section{"limits", &read_limits}, settings_section{"shutdown", &read_shutdown},
    settings_section{"log", &read_log},
};

result<toml::table> parse_file(const std::string& file) {
    try {
        return toml::parse_file(file);
    } catch (const toml::parse_error& error) {
        problem_list problems{file};
        problems.add(error.source(), "syntax", std::string{error.description()});
        return fail({"read settings", file, problems.text()});
    }
}

} // namespace

result<router_settings> read_router_settings(const std::string& file) {
    BOOST_LEAF_AUTO(document, parse_file(file));
    problem_list problems{file};
    table_reader reader{document, "", problems};
    router_settings settings;
    settings.fleet_key_in_store = uses_adapter(document);
    for (const settings_section& section : sections) {
        section.read(reader.table(section.name), settings, problems);
    }
    reader.finish();
    if (!problems.empty()) {
        return fail({"read settings", file, problems.text()});
    }
    return settings;
}

} // namespace citronwick
