#include "citronwick/config/config_store.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <set>

namespace citronwick {

namespace {

constexpr int max_resolve_attempts = 5;

std::string describe(const configuration_root& root) {
    return "generation " + std::to_string(root.generation) + " by " + root.writer;
}

io_result<configuration_root> parse_root(const std::string& json, const std::string& key) {
    return io_result_of<configuration_root>([&] { return parse_configuration_root(json, key); });
}

} // namespace

config_store::config_store(kv_client& service, std::string prefix)
    : service_{service}, prefix_{std::move(prefix)}, root_key_{prefix_ + "/config/root"} {}

task<io_result<std::optional<stored_configuration>>> config_store::load() {
    auto entry = co_await service_.read(root_key_);
    if (entry.has_error()) {
        co_return entry.error();
    }
    if (!entry->has_value()) {
        co_return std::optional<stored_configuration>{};
    }
    auto root = parse_root((*entry)->value, root_key_);
    if (root.has_error()) {
        co_return root.error();
    }
    auto text = co_await read_text(*root);
    if (text.has_error()) {
        co_return text.error();
    }
    auto value = io_result_of<configuration>([&] { return make_configuration(*root, *text); });
    if (value.has_error()) {
        co_return value.error();
    }
    co_return std::optional{stored_configuration{std::move(*value), (*entry)->mod_revision}};
}

task<io_result<std::string>> config_store::read_text(const configuration_root& root) {
    std::string text;
    for (const std::string& digest : root.chunks) {
        auto chunk = co_await read_chunk(digest);
        if (chunk.has_error()) {
            co_return chunk.error();
        }
        text += *chunk;
    }
    co_return text;
}

task<io_result<std::string>> config_store::read_chunk(std::string digest) {
    const std::string key = prefix_ + "/config/chunk/" + digest;
    auto entry = co_await service_.read(key);
    if (entry.has_error()) {
        co_return entry.error();
    }
    if (!entry->has_value() || sha256_hex((*entry)->value) != digest) {
        co_return failure{"read configuration chunk", key,
                          "missing, or its content does not match its digest"};
    }
    co_return std::move((*entry)->value);
}

task<io_result<void>> config_store::put_chunk(const std::string& digest, const std::string& content) {
    const std::string key = prefix_ + "/config/chunk/" + digest;
    auto swapped = co_await service_.compare_and_swap(key, 0, content, 0);
    if (swapped.has_error()) {
        co_return swapped.error();
    }
    co_return io_result<void>{};
}

task<io_result<void>> config_store::put_chunks(const configuration_change& change,
                                               const stored_configuration* base, configuration_root& next) {
    std::set<std::string> present;
    if (base != nullptr) {
        present.insert(base->value.root.chunks.begin(), base->value.root.chunks.end());
    }
    for (const std::string& content : split_chunks(change.text)) {
        const std::string digest = next.chunks.emplace_back(sha256_hex(content));
        if (!present.insert(digest).second) {
            continue;
        }
        auto put = co_await put_chunk(digest, content);
        if (put.has_error()) {
            co_return put.error();
        }
    }
    co_return io_result<void>{};
}

task<io_result<std::uint64_t>> config_store::commit(const configuration_change& change,
                                                    const stored_configuration* base) {
    configuration_root next{.generation = base == nullptr ? 1 : base->value.root.generation + 1,
                            .active_preset = change.active_preset,
                            .drained = change.drained,
                            .evacuated = change.evacuated,
                            .change_id = random_id(),
                            .writer = change.writer,
                            .time = change.time,
                            .reason = change.reason};
    auto chunks = co_await put_chunks(change, base, next);
    if (chunks.has_error()) {
        co_return chunks.error();
    }
    if (base != nullptr) {
        const std::string base_json = to_json(base->value.root);
        next.previous = sha256_hex(base_json);
        auto stored = co_await put_chunk(next.previous, base_json);
        if (stored.has_error()) {
            co_return stored.error();
        }
    }
    const std::string json = to_json(next);
    const std::int64_t expected = base == nullptr ? 0 : base->mod_revision;
    auto swapped = co_await service_.compare_and_swap(root_key_, expected, json, 0);
    if (swapped.has_error()) {
        const failure error = swapped.error();
        if (error.may_have_taken_effect) {
            co_return co_await resolve_unknown_outcome(next, error);
        }
        co_return error;
    }
    if (swapped->succeeded) {
        co_return next.generation;
    }
    failure conflict{"put configuration in force", root_key_, "lost a race; nothing was changed"};
    if (swapped->current) {
        const auto winner = parse_root(swapped->current->value, root_key_);
        if (winner.has_value() && winner->change_id == next.change_id) {
            co_return next.generation;
        }
        conflict.detail += winner.has_value() ? " (in force: " + describe(*winner) + ")" : "";
    }
    co_return conflict;
}

task<io_result<std::uint64_t>> config_store::resolve_unknown_outcome(const configuration_root& attempted,
                                                                     failure error) {
    for (int attempt = 0; attempt < max_resolve_attempts; ++attempt) {
        auto roots = co_await history(64);
        if (roots.has_error()) {
            continue;
        }
        const auto committed = std::ranges::find(*roots, attempted.change_id, &configuration_root::change_id);
        if (committed != roots->end()) {
            co_return attempted.generation;
        }
        const bool superseded = !roots->empty() && roots->front().generation >= attempted.generation;
        if (superseded) {
            co_return failure{"put configuration in force", root_key_,
                              "lost a race; nothing was changed (in force: " + describe(roots->front()) +
                                  ")"};
        }
    }
    error.detail +=
        "; it is unknown whether the change took effect; look for this change id in citronctl history: " +
        attempted.change_id;
    co_return error;
}

task<io_result<bool>> config_store::write_again(std::vector<std::string> roots,
                                                std::vector<std::string> chunks,
                                                std::int64_t expected_revision) {
    const std::string newest = roots.back();
    roots.pop_back();
    chunks.insert(chunks.end(), roots.begin(), roots.end());
    for (const std::string& content : chunks) {
        auto put = co_await put_chunk(sha256_hex(content), content);
        if (put.has_error()) {
            co_return put.error();
        }
    }
    auto swapped = co_await service_.compare_and_swap(root_key_, expected_revision, newest, 0);
    if (swapped.has_error()) {
        co_return swapped.error();
    }
    co_return swapped->succeeded;
}

task<io_result<std::vector<configuration_root>>> config_store::history(std::size_t max_count) {
    auto entry = co_await service_.read(root_key_);
    if (entry.has_error()) {
        co_return entry.error();
    }
    std::vector<configuration_root> roots;
    std::string json = entry->has_value() ? (*entry)->value : std::string{};
    while (!json.empty() && roots.size() < max_count) {
        auto root = parse_root(json, root_key_);
        if (root.has_error()) {
            co_return root.error();
        }
        const std::string previous = roots.emplace_back(std::move(*root)).previous;
        json.clear();
        if (!previous.empty()) {
            auto chunk = co_await read_chunk(previous);
            if (chunk.has_error()) {
                co_return chunk.error();
            }
            json = std::move(*chunk);
        }
    }
    co_return roots;
}

} // namespace citronwick
