#include "citronwick/control/document_sync.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/core/time.hpp"
#include "citronwick/io/etcd_gateway_client.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iterator>

namespace citronwick {

namespace {

using namespace std::chrono_literals;
using wire::document_kind;

/// Delay before a retry at the platform, and between checks of the watcher role.
constexpr duration retry_interval = 1s;
/// Roots that a router keeps to recognize a restored service and to write them again.
constexpr std::size_t max_accepted_roots = 32;
constexpr const char* configuration_source = "key-value service";

task<void> sleep_for(duration time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(use_tuple);
}

} // namespace

document_sync::document_sync(asio::any_io_executor executor, const control_settings& settings,
                             document_store& store, peer_exchange& peers, callbacks handlers)
    : executor_{std::move(executor)}, settings_{settings}, store_{store}, peers_{peers},
      callbacks_{std::move(handlers)}, config_service_{make_etcd_gateway_client(
                                           executor_, settings.key_value_servers, settings.platform_timeout)},
      vm_list_{make_http_vm_list_client(executor_, settings.vm_list_server, settings.platform_timeout)},
      config_store_{*config_service_, settings.key_prefix} {}

void document_sync::start() {
    spawn_restarting(executor_, "configuration", [this] { return watch_configuration(); });
    spawn_restarting(executor_, "vm_list", [this] { return poll_vm_list(); });
}

void document_sync::pull_if_newer(const endpoint& peer, const wire::document_version& version) {
    const auto index = static_cast<std::size_t>(version.kind);
    const bool is_known = index < pulling_.size();
    if (is_known && !pulling_.at(index) && version.generation > store_.generation(version.kind)) {
        pulling_.at(index) = true;
        spawn_logged(executor_, "document", pull(peer, version.kind),
                     [this, index] { pulling_.at(index) = false; });
    }
}

task<void> document_sync::pull(endpoint peer, document_kind kind) {
    auto offered = co_await peers_.fetch(peer, kind);
    pulling_.at(static_cast<std::size_t>(kind)) = false;
    if (offered.has_error()) {
        log_failure("document_not_fetched", offered.error());
        co_return;
    }
    accept(kind, offered->generation, std::move(offered->header), to_text(peer));
}

/// Applies a document if it is valid and newer than the current one.
bool document_sync::accept(document_kind kind, std::uint64_t generation, std::string header,
                           const std::string& source) {
    if (generation <= store_.generation(kind) || !store_.missing(header).empty()) {
        return false;
    }
    const std::string text = join_chunks(header);
    const bool is_valid = kind == document_kind::configuration ? apply_configuration(header, text, source)
                                                               : apply_vm_list(text, source);
    if (is_valid && kind == document_kind::configuration) {
        accepted_roots_.push_back(header);
        if (accepted_roots_.size() > max_accepted_roots) {
            accepted_roots_.pop_front();
        }
    }
    return is_valid && store_.accept(kind, generation, std::move(header));
}

std::string document_sync::join_chunks(const std::string& header) const {
    std::string text;
    for (const std::string& digest : digests_of(header)) {
        const std::string* const chunk = store_.find_chunk(digest);
        text += chunk == nullptr ? std::string{} : *chunk;
    }
    return text;
}

bool document_sync::apply_configuration(const std::string& header, const std::string& text,
                                        const std::string& source) const {
    auto parsed = io_result_of<configuration>([&]() -> result<configuration> {
        BOOST_LEAF_AUTO(root, parse_configuration_root(header, source));
        return make_configuration(std::move(root), text);
    });
    if (parsed.has_error()) {
        log_failure("configuration_refused", parsed.error());
        return false;
    }
    log_info("configuration_in_force", {{"generation", std::to_string(parsed->root.generation)},
                                        {"preset", parsed->root.active_preset},
                                        {"source", source}});
    callbacks_.on_configuration(std::make_shared<const configuration>(std::move(*parsed)));
    return true;
}

bool document_sync::apply_vm_list(const std::string& text, const std::string& source) const {
    auto vms = io_result_of<std::vector<listed_vm>>([&] { return parse_vm_json_lines(text, source); });
    if (vms.has_error()) {
        log_failure("vm_list_refused", vms.error());
        return false;
    }
    callbacks_.on_vm_list(*vms);
    return true;
}

task<void> document_sync::watch_configuration() {
    while (true) {
        if (!callbacks_.is_watcher()) {
            co_await sleep_for(retry_interval);
            continue;
        }
        auto revision = co_await load_configuration();
        if (revision.has_error()) {
            log_failure("configuration_not_read", revision.error());
            co_await sleep_for(retry_interval);
            continue;
        }
        auto changed = co_await config_service_->wait_for_change(config_store_.root_key(), *revision,
                                                                 settings_.config_check_interval);
        if (changed.has_error()) {
            log_failure("watch_ended", changed.error());
            co_await sleep_for(retry_interval);
        }
    }
}

/// Reads the configuration root and the missing chunks, and applies a newer generation.
/// @return revision of the root, 0 if there is none
task<io_result<std::int64_t>> document_sync::load_configuration() {
    auto entry = co_await config_service_->read(config_store_.root_key());
    if (entry.has_error()) {
        co_return entry.error();
    }
    if (!entry->has_value()) {
        co_return std::int64_t{0};
    }
    const kv_entry root = **entry;
    auto parsed = io_result_of<configuration_root>(
        [&] { return parse_configuration_root(root.value, config_store_.root_key()); });
    if (parsed.has_error()) {
        co_return parsed.error();
    }
    if (parsed->generation > store_.generation(document_kind::configuration)) {
        for (const std::string& digest : store_.missing(root.value)) {
            auto chunk = co_await config_store_.read_chunk(digest);
            if (chunk.has_error()) {
                co_return chunk.error();
            }
            store_.add_chunk(std::move(*chunk));
        }
        accept(document_kind::configuration, parsed->generation, root.value, configuration_source);
        if (store_.generation(document_kind::configuration) < parsed->generation) {
            co_return failure{"put configuration in force", configuration_source,
                              "the configuration is invalid or incomplete"};
        }
    } else if (!accepted_roots_.empty() && root.value != accepted_roots_.back()) {
        co_await write_again(root);
    }
    co_return root.mod_revision;
}

/// Writes the configuration in force again if the service holds one of its
/// predecessors. Any other root was written by an operator, and is left alone.
task<void> document_sync::write_again(kv_entry stored) {
    const auto known = std::ranges::find(accepted_roots_, stored.value);
    const document* const held = store_.current(document_kind::configuration);
    if (known == accepted_roots_.end() || held == nullptr) {
        log_warn("configuration_ignored",
                 {{"reason", "not newer than the generation in force, nor before it"},
                  {"revision", std::to_string(stored.mod_revision)}});
        co_return;
    }
    // With the stored one, which becomes the predecessor of another root again.
    std::vector<std::string> roots{known, accepted_roots_.end()};
    std::vector<std::string> chunks;
    std::ranges::transform(held->digests, std::back_inserter(chunks),
                           [this](const std::string& digest) { return *store_.find_chunk(digest); });
    const std::string generation = std::to_string(held->generation);
    auto written =
        co_await config_store_.write_again(std::move(roots), std::move(chunks), stored.mod_revision);
    if (written.has_error()) {
        log_failure("configuration_not_written_again", written.error());
        co_return;
    }
    log_warn("configuration_written_again", {{"generation", generation},
                                             {"reason", "the key-value service held an earlier one"},
                                             {"succeeded", *written ? "yes" : "no"}});
}

task<void> document_sync::poll_vm_list() {
    bool failure_logged = false;
    while (true) {
        if (callbacks_.is_watcher()) {
            const auto known = store_.generation(document_kind::vm_list);
            auto fetched = co_await vm_list_->fetch(known);
            if (fetched.has_error() && !failure_logged) {
                log_failure("vm_list_not_read", fetched.error());
            }
            failure_logged = fetched.has_error();
            if (fetched.has_value() && fetched->has_value()) {
                accept_platform_vm_list(**fetched);
            }
        }
        co_await sleep_for(settings_.vm_list_interval);
    }
}

/// Splits the platform's list into the chunks that routers exchange.
void document_sync::accept_platform_vm_list(const vm_list_document& list) {
    auto vms =
        io_result_of<std::vector<listed_vm>>([&] { return parse_platform_vm_list(list.json, "VM list"); });
    if (vms.has_error()) {
        log_failure("vm_list_refused", vms.error());
        return;
    }
    boost::json::array digests;
    for (std::string& chunk : split_chunks(to_json_lines(*vms))) {
        digests.emplace_back(sha256_hex(chunk));
        store_.add_chunk(std::move(chunk));
    }
    std::string header = boost::json::serialize(boost::json::object{{"chunks", std::move(digests)}});
    accept(document_kind::vm_list, list.version, std::move(header), "VM list");
}

} // namespace citronwick
