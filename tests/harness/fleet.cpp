#include "fleet.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ranges>
#include <sstream>
#include <stdexcept>

namespace citronwick::harness {

namespace {

namespace json = boost::json;

constexpr const char* fleet_key = "a fleet key for tests only";

std::string team_table(const std::string& name) {
    return "[[team]]\nname = \"" + name + "\"\nkey_sha256 = \"" + sha256_hex(team_key(name)) + "\"\n\n";
}

std::string make_declaration(const fleet_options& options) {
    return "[[service]]\nname = \"citron-bench\"\nkind = \"engine\"\nmodels = [\"repair-draft\"]\n\n"
           "[[service]]\nname = \"shop-desk\"\nkind = \"plain\"\n" +
           options.service + "\n\n" + team_table("hanbit-north") + team_table("hanbit-south") +
           team_table("club") + "[preset.ordinary]\n" + options.preset +
           "\n[preset.peak]\nskew_target = 1.5\n\n" + "[preset.maintenance]\nqueue_timeout = \"5s\"\n";
}

json::object upstream_entry(const node& upstream, const std::string& service) {
    return {{"name", upstream.name},
            {"role", "upstream"},
            {"service", service},
            {"region", "kr-south"},
            {"failure_domain", upstream.failure_domain},
            {"address", to_text(upstream.address())},
            {"state", upstream.leaving ? "leaving" : "live"}};
}

json::object router_entry(const router_node& router) {
    const endpoint address = router.proxy ? router.proxy->addresses.front() : router.addresses.at(2);
    return {{"name", router.name},         {"role", "entry"},
            {"region", "kr-south"},        {"failure_domain", router.failure_domain},
            {"address", to_text(address)}, {"state", "live"}};
}

} // namespace

std::string team_key(const std::string& team) {
    return "key-of-" + team;
}

fleet::fleet(fleet_options options)
    : options_{std::move(options)}, directory_{make_directory()},
      declaration_{options_.declaration.empty() ? make_declaration(options_) : options_.declaration} {
    key_value_ = start_standin("kv", "kv", {});
    vm_list_ = start_standin("vmlist", "vmlist", {});
    const auto domain = [this](std::size_t index) {
        return options_.failure_domains[index % options_.failure_domains.size()];
    };
    if (options_.shared_engines) {
        start_shared_engines();
    }
    for (std::size_t index = engines_.size(); index < options_.engines; ++index) {
        add_engine(domain(index));
    }
    for (std::size_t index = 0; index < options_.service_workers; ++index) {
        workers_.push_back(start_standin("service", "desk-" + std::to_string(index), {}));
        workers_.back().failure_domain = domain(index);
    }
    publish_vms();
    for (std::size_t index = 0; index < options_.routers; ++index) {
        add_router(domain(index));
    }
    publish_vms();
    std::ofstream{file("fleet.toml")} << declaration_;
    if (options_.apply) {
        const auto applied = ctl({"apply", file("fleet.toml"), "--preset", "ordinary"});
        if (applied.exit != 0) {
            throw std::runtime_error("cannot apply the declaration: " + applied.output);
        }
    }
}

fleet::~fleet() {
    routers_.clear();
    engines_.clear();
    workers_.clear();
    key_value_ = {};
    vm_list_ = {};
    if (std::getenv("CITRONWICK_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

node fleet::start_standin(const std::string& kind, const std::string& name,
                          const std::vector<std::string>& arguments) {
    ++next_index_;
    node started = start_standin_in(directory_, kind, name, arguments);
    const bool is_proxy = kind == "proxy";
    if (options_.proxies && !is_proxy) {
        put_behind_proxy(started);
    }
    return started;
}

void fleet::put_behind_proxy(node& target) {
    if (!target.proxy) {
        target.proxy = std::make_unique<node>(start_standin("proxy", target.name + "-proxy", {}));
    }
    set_proxy_target(*target.proxy, target);
}

void fleet::start_shared_engines() {
    auto arguments = options_.engine_arguments;
    arguments.insert(arguments.end(), {"--count", std::to_string(options_.engines)});
    shared_engines_ = start_standin("engine", "engines", arguments);
    for (std::size_t index = 0; index < options_.engines; ++index) {
        engines_.push_back(
            {.name = "engine-" + std::to_string(index),
             .failure_domain = options_.failure_domains[index % options_.failure_domains.size()],
             .log = shared_engines_.log,
             .addresses = {shared_engines_.addresses[index]}});
    }
}

node& fleet::add_engine(const std::string& failure_domain) {
    const std::string name = "engine-" + std::to_string(next_index_);
    engines_.push_back(start_standin("engine", name, options_.engine_arguments));
    engines_.back().failure_domain = failure_domain;
    return engines_.back();
}

/// Source address of the routers of a failure domain. With proxies each domain
/// has its own loopback address, by which the proxies identify the domain of a connection.
std::string fleet::domain_ip(const std::string& failure_domain) const {
    if (!options_.proxies) {
        return "127.0.0.1";
    }
    const auto found = std::ranges::find(options_.failure_domains, failure_domain);
    return "127.0." + std::to_string(1 + std::distance(options_.failure_domains.begin(), found)) + ".1";
}

std::vector<const node*> fleet::proxied_nodes() const {
    std::vector<const node*> nodes{&key_value_, &vm_list_};
    const auto add = [&nodes](const node& each) { nodes.push_back(&each); };
    std::ranges::for_each(routers_, add);
    std::ranges::for_each(engines_, add);
    std::ranges::for_each(workers_, add);
    return nodes;
}

void fleet::isolate(const std::string& failure_domain) {
    json::array others;
    for (const std::string& domain : options_.failure_domains) {
        if (domain != failure_domain) {
            others.emplace_back(domain_ip(domain));
        }
    }
    const json::array cut{json::string{domain_ip(failure_domain)}};
    for (const node* each : proxied_nodes()) {
        const bool inside = each->failure_domain == failure_domain;
        set_proxy_fault(*each, json::serialize(json::object{{"refused_sources", inside ? others : cut}}));
    }
}

void fleet::clear_faults() {
    for (const node* each : proxied_nodes()) {
        set_proxy_fault(*each, "{}");
    }
}

void fleet::remove_engine(const std::string& name) {
    const auto found = std::ranges::find(engines_, name, &node::name);
    if (found != engines_.end()) {
        engines_.erase(found);
    }
}

void fleet::restart_engine(node& engine) {
    engine.process->kill();
    auto restarted = start_standin("engine", engine.name, options_.engine_arguments);
    engine.process = std::move(restarted.process);
    engine.addresses = std::move(restarted.addresses);
    if (engine.proxy) {
        put_behind_proxy(engine);
    }
}

router_node& fleet::add_router(const std::string& failure_domain) {
    router_node& router = routers_.emplace_back();
    router.name = "entry-" + std::to_string(next_index_++);
    router.failure_domain = failure_domain;
    router.log = file(router.name + ".log");
    if (options_.proxies) {
        router.source_address = domain_ip(failure_domain);
        router.proxy = std::make_unique<node>(start_standin("proxy", router.name + "-proxy", {}));
    }
    start_router(router);
    return router;
}

void fleet::restart_router(router_node& router) {
    router.process->kill();
    start_router(router);
}

std::string fleet::make_router_settings(const router_node& router) const {
    constexpr std::size_t max_seeds = 6;
    std::string seeds;
    for (const router_node& other : routers_ | std::views::take(max_seeds)) {
        if (!other.addresses.empty() && &other != &router) {
            const endpoint address = other.proxy ? other.proxy->addresses.front() : other.addresses.at(2);
            seeds += (seeds.empty() ? "\"" : ", \"") + to_text(address) + "\"";
        }
    }
    std::ostringstream text;
    text << "[vm]\nname = \"" << router.name << "\"\nregion = \"kr-south\"\nfailure_domain = \""
         << router.failure_domain << "\"\n"
         << (router.source_address.empty() ? "" : "source_address = \"" + router.source_address + "\"\n")
         << "\n[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n"
         << "fleet = \"" << domain_ip(router.failure_domain) << ":0\"\nport_file = \""
         << file(router.name + ".ports") << "\"\n\n[fleet]\nkey = \"" << fleet_key << "\"\nseeds = [" << seeds
         << "]\n"
         << (router.proxy ? "advertise = \"" + to_text(router.proxy->addresses.front()) + "\"\n" : "")
         << options_.fleet_settings << "\n\n[platform]\nkey_value = [\"" << to_text(key_value_.address())
         << "\"]\nvm_list = \"" << to_text(vm_list_.address()) << "\"\n"
         << options_.platform_settings << "\n\n[shutdown]\nbalancer_lag = \"300ms\"\n"
         << options_.shutdown_settings << "\n[log]\nlevel = \"" << options_.log_level << "\"\n"
         << options_.router_settings;
    return text.str();
}

void fleet::start_router(router_node& router) {
    const std::string settings = file(router.name + ".toml");
    const std::string port_file = file(router.name + ".ports");
    std::filesystem::remove(port_file);
    std::ofstream{settings} << make_router_settings(router);
    router.process = std::make_unique<child_process>(
        std::vector<std::string>{binary_path("citronwickd"), "--config", settings}, router.log);
    await_addresses(router, port_file);
    if (router.proxy) {
        put_behind_proxy(router);
    }
}

void fleet::publish_vms() {
    json::array vms;
    for (const node& engine : engines_) {
        vms.push_back(upstream_entry(engine, "citron-bench"));
    }
    for (const node& worker : workers_) {
        vms.push_back(upstream_entry(worker, "shop-desk"));
    }
    for (const router_node& router : routers_) {
        vms.push_back(router_entry(router));
    }
    post_json(vm_list_.addresses.front(), "/standin/vms",
              json::serialize(json::object{{"vms", std::move(vms)}}));
}

json::object fleet::view(const router_node& router) const {
    const auto response = http_call(router.operators(), {.target = "/debug/view"});
    return parse_json_object(response.body).value_or(json::object{});
}

bool fleet::wait_ready(std::chrono::milliseconds timeout) {
    const auto is_ready = [this](router_node& router) {
        if (!router.process->is_running()) {
            return true;
        }
        const auto seen = view(router);
        const auto* const services = object_member(seen, "services");
        const auto* const engines = services == nullptr ? nullptr : array_member(*services, "citron-bench");
        const std::size_t engine_count = engines == nullptr ? 0 : engines->size();
        return integer_member(seen, "generation") > 0 && engine_count == engines_.size() &&
               integer_member(seen, "live_routers") == static_cast<std::int64_t>(routers_.size());
    };
    return wait_until([&] { return std::ranges::all_of(routers_, is_ready); }, timeout);
}

bool fleet::wait_generation(std::int64_t generation, std::chrono::milliseconds timeout) {
    const auto is_applied = [&](router_node& router) {
        return !router.process->is_running() || integer_member(view(router), "generation") >= generation;
    };
    return wait_until([&] { return std::ranges::all_of(routers_, is_applied); }, timeout);
}

command_result fleet::ctl(std::vector<std::string> arguments, bool with_platform) {
    const std::string log = file("ctl." + std::to_string(next_index_++) + ".log");
    if (with_platform) {
        arguments.insert(arguments.end(), {"--kv", to_text(key_value_.address())});
    }
    return run_citronctl(std::move(arguments), log);
}

std::vector<std::string> fleet::log_lines(const node& source, const std::string& text) const {
    return find_log_lines(source, text);
}

} // namespace citronwick::harness
