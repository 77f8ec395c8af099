#include "routed_fleet.hpp"

#include "citronwick/io/json_text.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>
#include <spdlog/fmt/fmt.h>

namespace citronwick::harness {

namespace {

/// Incarnation of workers that state no start.
constexpr std::int64_t states_no_start = 0;

namespace json = boost::json;

json::object make_route(const char* path, const char* kind, const char* service, int attempts) {
    return {{"name", path},           {"host", "shop.example"},
            {"prefix", path},         {"kind", kind},
            {"service", service},     {"timeoutMs", 3'000},
            {"targetLatencyMs", 100}, {"attempts", attempts},
            {"priority", 1},          {"resumeStreams", std::string_view{path} == "/quote/stream/"}};
}

/// The declaration of a service without an engine.
json::object make_plain_service(const char* name, double cold_rate) {
    json::object service{{"name", name}, {"connectionLimit", 96}};
    if (cold_rate > 0.0) {
        service["coldPerS"] = cold_rate;
    }
    return service;
}

/// Target by which a key of the stand-in store is written or removed. All bytes are escaped, whatever
/// they are.
std::string key_target(std::string_view key) {
    std::string target = "/standin/key?key=";
    std::ranges::for_each(
        key, [&target](char each) { target += fmt::format("%{:02x}", static_cast<unsigned char>(each)); });
    return target;
}

} // namespace

std::string domain_name(std::size_t number) {
    return number == 0 ? "busan-a" : "domain-" + std::to_string(number);
}

routed_fleet::routed_fleet(routed_options options)
    : options_{std::move(options)}, directory_{make_directory()} {
    store_ = start_standin("store", "store", {});
    for (std::size_t index = 0; index < options_.plain_workers; ++index) {
        const std::string id = "desk-" + std::to_string(index);
        plain_workers_.push_back(start_standin("worker", id, worker_arguments(id, states_no_start)));
        plain_workers_.back().failure_domain = domain_name(index % options_.worker_domains);
        register_worker(plain_workers_.back(), "desk");
    }
    for (std::size_t index = 0; index < options_.engines; ++index) {
        const std::string id = "engine-" + std::to_string(index);
        if (!options_.engine_versions.empty()) {
            versions_[id] = options_.engine_versions[index % options_.engine_versions.size()];
        }
        engines_.push_back(start_standin("worker", id, worker_arguments(id, states_no_start)));
        engines_.back().failure_domain = domain_name(index % options_.worker_domains);
        register_worker(engines_.back(), "bench", "ready", 1, version_of(id));
    }
    declare({"club-key"});
    for (std::size_t index = 0; index < options_.routers; ++index) {
        start_router();
    }
}

routed_fleet::~routed_fleet() {
    routers_.clear();
    plain_workers_.clear();
    engines_.clear();
    store_ = {};
    if (std::getenv("CITRONWICK_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

node routed_fleet::start_standin(const std::string& kind, const std::string& name,
                                 const std::vector<std::string>& arguments) {
    node started = start_standin_in(directory_, kind, name, arguments);
    started.failure_domain = domain_name(0);
    if (options_.proxies) {
        started.proxy = std::make_unique<node>(start_standin_in(directory_, "proxy", name + "-proxy", {}));
        set_proxy_target(*started.proxy, started);
    }
    return started;
}

std::vector<std::string> routed_fleet::worker_arguments(const std::string& name,
                                                        std::int64_t incarnation) const {
    std::vector<std::string> arguments{"--id", name, "--born", std::to_string(incarnation)};
    if (const auto version = versions_.find(name); version != versions_.end()) {
        arguments.insert(arguments.end(), {"--software", version->second});
    }
    return arguments;
}

std::string routed_fleet::version_of(const std::string& worker) const {
    const auto version = versions_.find(worker);
    return version == versions_.end() ? "v1" : version->second;
}

node routed_fleet::start_engine(const std::string& name, const std::string& version,
                                std::int64_t incarnation) {
    set_version(name, version);
    return start_standin("worker", name, worker_arguments(name, incarnation));
}

void routed_fleet::start_worker_again(node& worker, std::int64_t incarnation, const std::string& fault) {
    node started =
        start_standin_in(directory_, "worker", worker.name, worker_arguments(worker.name, incarnation));
    worker.process = std::move(started.process);
    worker.addresses = std::move(started.addresses);
    if (worker.proxy) {
        if (!worker.proxy->process->is_running()) {
            *worker.proxy = start_standin_in(directory_, "proxy", worker.name + "-proxy", {});
        }
        set_proxy_target(*worker.proxy, worker);
    }
    if (!fault.empty()) {
        set_fault(worker, fault);
    }
}

void routed_fleet::restart_worker(node& worker, const std::string& service, std::int64_t incarnation,
                                  const std::string& fault) {
    start_worker_again(worker, incarnation, fault);
    register_worker(worker, service, "ready", incarnation, version_of(worker.name));
}

void routed_fleet::replace_worker(node& worker, const std::string& version) {
    worker.process->kill();
    const std::string port = std::to_string(worker.addresses.front().port);
    node started = start_standin_in(directory_, "worker", worker.name,
                                    {"--id", worker.name, "--software", version, "--port", port});
    worker.process = std::move(started.process);
}

void routed_fleet::start_router(std::string program) {
    const std::size_t index = next_index_++;
    const std::size_t number = index % options_.failure_domains;
    node router{.name = "entry-" + std::to_string(index), .failure_domain = domain_name(number)};
    router.program = std::move(program);
    router.log = file(router.name + ".log");
    if (options_.proxies) {
        // Tells routers apart at the proxies.
        router.source_address = "127.0.1." + std::to_string(index + 1);
    }
    start_process(router);
    routers_.push_back(std::move(router));
}

void routed_fleet::restart_router(node& router) {
    start_process(router);
}

void routed_fleet::start_process(node& router) const {
    launch_router(router, options_.router_process);
    await_addresses(router, file(router.name + ".ports"));
}

std::vector<endpoint> routed_fleet::launched_addresses(const node& router) const {
    return read_port_file(file(router.name + ".ports"));
}

void routed_fleet::launch_router(node& router, const process_options& process,
                                 const std::vector<std::uint16_t>& ports) const {
    const std::string settings = file(router.name + ".toml");
    const std::string port_file = file(router.name + ".ports");
    std::filesystem::remove(port_file);
    const auto listen_address = [&ports](std::size_t index) {
        return "\"127.0.0.1:" + std::to_string(index < ports.size() ? ports[index] : 0) + "\"\n";
    };
    std::ofstream{settings}
        << "[vm]\nname = \"" << router.name << "\"\nregion = \"kr-south\"\n"
        << "failure_domain = \"" << router.failure_domain << "\"\n"
        << (router.source_address.empty() ? "" : "source_address = \"" + router.source_address + "\"\n")
        << "\n[listen]\n"
        << "callers = " << listen_address(0) << "operators = " << listen_address(1)
        << "fleet = " << listen_address(2) << "port_file = \"" << port_file << "\"\n\n[platform]\n"
        << "adapter = \"http_store\"\nstore = \"" << to_text(store_.address()) << "\"\n"
        << "store_timeout = \"" << options_.store_timeout.count() << "ms\"\nkey_lifetime = \""
        << options_.key_lifetime.count() << "ms\"\n"
        << options_.platform_settings << "\n[limits]\n"
        << options_.limit_settings << "\n[shutdown]\nbalancer_lag = \"" << options_.balancer_lag.count()
        << "ms\"\n"
        << options_.shutdown_settings << "\n[log]\nformat = \"" << options_.log_format << "\"\n";
    const std::string program = router.program.empty() ? binary_path("citronwickd") : router.program;
    router.process = std::make_unique<child_process>(std::vector<std::string>{program, "--config", settings},
                                                     router.log, process);
}

void routed_fleet::put_key(const std::string& key, const std::string& value) {
    const std::scoped_lock lock{keys_mutex_};
    keys_[key] = value;
    http_call(store_.addresses.front(), {.method = "PUT", .target = key_target(key), .body = value});
}

void routed_fleet::remove_key(const std::string& key) {
    const std::scoped_lock lock{keys_mutex_};
    keys_.erase(key);
    http_call(store_.addresses.front(), {.method = "DELETE", .target = key_target(key)});
}

void routed_fleet::write_keys_again() {
    const std::scoped_lock lock{keys_mutex_};
    for (const auto& [key, value] : keys_) {
        http_call(store_.addresses.front(), {.method = "PUT", .target = key_target(key), .body = value});
    }
}

void routed_fleet::declare(const std::vector<std::string>& keys, std::size_t extra_routes) {
    json::array api_keys;
    std::ranges::for_each(keys, [&api_keys](const std::string& key) { api_keys.emplace_back(key); });
    json::array routes{make_route("/read/", "safe", "desk", 2), make_route("/book/", "unsafe", "desk", 1),
                       make_route("/quote/stream/", "streaming", "bench", 2),
                       make_route("/guide/stream/", "streaming", "bench", 1)};
    routes.push_back(make_route("/split/stream/", "streaming", "bench", 1));
    routes.back().as_object()["resumeStreams"] = true;
    routes.back().as_object()["trafficSplit"] =
        json::array{json::object{{"service", "bench"}, {"weight", split_.first}},
                    json::object{{"service", "other-bench"}, {"weight", split_.second}}};
    for (std::size_t index = 0; index < extra_routes; ++index) {
        const std::string path = "/more-" + std::to_string(index) + "/";
        routes.push_back(make_route(path.c_str(), "safe", "desk", 2));
    }
    const json::object declaration{
        {"version", ++version_},
        {"routes", std::move(routes)},
        {"services",
         json::array{make_plain_service("desk", options_.cold_rate),
                     json::object{{"name", "other-bench"}, {"connectionLimit", 96}},
                     json::object{{"name", "bench"},
                                  {"connectionLimit", 96},
                                  {"engine", json::object{{"slots", 8}, {"kvCacheTokens", 90'000}}}}}},
        {"limits", json::object{{"headerBytes", 8'192}, {"bodyBytes", options_.body_bytes}}},
        {"tenants", json::array{json::object{{"name", "club"}, {"apiKeys", std::move(api_keys)}},
                                json::object{{"name", "guild"}, {"apiKeys", json::array{"guild-key"}}}}}};
    put_key("op/config", json::serialize(declaration));
}

void routed_fleet::register_worker(const node& worker, const std::string& service, const std::string& state,
                                   std::int64_t incarnation, const std::string& version) {
    const auto cold = cold_times_.find(worker.name);
    const json::object entry{{"service", service},
                             {"address", to_text(worker.address())},
                             {"zone", worker.failure_domain},
                             {"version", version},
                             {"slots", options_.worker_slots},
                             {"state", state},
                             {"coldRemainingMs", cold == cold_times_.end() ? 0 : cold->second.count()},
                             {"seq", 1},
                             {"born", incarnation}};
    put_key("servers/" + worker.name, json::serialize(entry));
}

void routed_fleet::unregister_worker(const node& worker) {
    remove_key("servers/" + worker.name);
}

json::object routed_fleet::view(const node& router) const {
    const auto response = http_call(router.addresses.at(1), {.target = "/debug/view"});
    return parse_json_object(response.body).value_or(json::object{});
}

bool routed_fleet::wait_ready(std::chrono::milliseconds timeout) {
    const auto is_ready = [this](const node& router) {
        const auto seen = view(router);
        const auto* const stream_versions = object_member(seen, "stream_versions");
        return integer_member(seen, "version") == version_ && stream_versions != nullptr &&
               (options_.engines == 0 || !stream_versions->empty()) &&
               integer_member(seen, "key_age_ms") >= 0 &&
               integer_member(seen, "live_routers") == static_cast<std::int64_t>(routers_.size());
    };
    return wait_until([&] { return std::ranges::all_of(routers_, is_ready); }, timeout);
}

reply routed_fleet::ask(const node& router, const std::string& path, const std::string& attempt_id,
                        std::vector<std::pair<std::string, std::string>> headers, const std::string& body) {
    std::vector<std::pair<std::string, std::string>> all_headers{{"Host", "shop.example"},
                                                                 {"X-Api-Key", "club-key"},
                                                                 {"Citronwick-Attempt-Id", attempt_id},
                                                                 {"Citronwick-Deadline-Ms", "2000"}};
    std::ranges::move(headers, std::back_inserter(all_headers));
    const bool is_read = path.starts_with("/read/");
    return http_call(router.address(), {.method = is_read ? "GET" : "POST",
                                        .target = path,
                                        .body = body,
                                        .headers = std::move(all_headers)});
}

void set_faults(const std::deque<node>& workers, const std::string& fault) {
    std::ranges::for_each(workers, [&](const node& worker) { set_fault(worker, fault); });
}

std::vector<std::int64_t> arrivals_at(const node& worker) {
    const auto page =
        parse_json_object(http_call(worker.addresses.front(), {.target = "/standin/runs"}).body);
    std::vector<std::int64_t> times;
    for (const auto& each : *array_member(*page, "arrivals")) {
        times.push_back(each.to_number<std::int64_t>());
    }
    return times;
}

std::int64_t runs_of(const node& worker, const std::string& attempt_id) {
    const auto page =
        parse_json_object(http_call(worker.addresses.front(), {.target = "/standin/runs"}).body);
    const auto* const runs = page ? object_member(*page, "runs") : nullptr;
    const auto* const run = runs == nullptr ? nullptr : object_member(*runs, attempt_id);
    return run == nullptr ? 0 : integer_member(*run, "count");
}

std::int64_t runs_of(const std::deque<node>& workers, const std::string& attempt_id) {
    return std::accumulate(
        workers.begin(), workers.end(), std::int64_t{0},
        [&](std::int64_t sum, const node& worker) { return sum + runs_of(worker, attempt_id); });
}

} // namespace citronwick::harness
