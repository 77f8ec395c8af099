#include "metadata_store.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <ranges>
#include <spdlog/fmt/fmt.h>
#include <vector>

namespace citronwick::standin {

namespace {

namespace json = boost::json;
using boost::beast::tcp_stream;
using namespace std::chrono_literals;

/// Writes the bytes that UTF-8 would have for half of a surrogate pair as JSON's escape for it.
std::string escape_surrogates(std::string_view text) {
    constexpr unsigned char lead = 0xed;
    constexpr unsigned char first_of_surrogates = 0xa0;
    constexpr unsigned char first_continuation = 0x80;
    constexpr unsigned char end_of_continuations = 0xc0;
    constexpr std::size_t length = 3;
    constexpr unsigned payload_bits = 6;
    constexpr unsigned payload_mask = 0x3f;
    constexpr unsigned lead_bits = 0xd000;
    std::string escaped;
    while (!text.empty()) {
        const auto byte = [text](std::size_t index) { return static_cast<unsigned char>(text[index]); };
        const bool is_surrogate = text.size() >= length && byte(0) == lead &&
                                  byte(1) >= first_of_surrogates && byte(1) < end_of_continuations &&
                                  byte(2) >= first_continuation && byte(2) < end_of_continuations;
        escaped += is_surrogate
                       ? fmt::format("\\u{:04x}", lead_bits | ((byte(1) & payload_mask) << payload_bits) |
                                                      (byte(2) & payload_mask))
                       : std::string{text.substr(0, 1)};
        text.remove_prefix(is_surrogate ? length : 1);
    }
    return escaped;
}

/// Number that ends a path.
std::int64_t last_segment(const std::string& target) {
    const std::string segment = target.substr(target.rfind('/') + 1);
    std::int64_t number = 0;
    std::from_chars(segment.data(), segment.data() + segment.size(), number);
    return number;
}

} // namespace

metadata_store::metadata_store(asio::io_context& context, const std::string& ip)
    : server_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                  return handle(stream, std::move(request));
              }} {}

task<bool> metadata_store::handle(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    auto query = form_query::parse(target);
    if (!query) {
        co_return co_await send(stream, http::status::bad_request, "{}");
    }
    if (target.starts_with("/standin/")) {
        co_return co_await handle_control(stream, std::move(request), std::move(*query));
    }
    ++calls_;
    expire_leases();
    if (mode_ == "silent") {
        co_await sleep_for(1h);
    }
    if (mode_ == "reset") {
        co_return false;
    }
    if (mode_ == "busy") {
        co_return co_await send(stream, http::status::service_unavailable, "{}");
    }
    co_await sleep_for(delay_);
    if (target.starts_with("/v1/kv-watch")) {
        co_return co_await watch(stream, std::move(*query));
    }
    http::status status = http::status::ok;
    auto body = respond(request, *query, status);
    if (request.method() == http::verb::post && responses_to_drop_ > 0) {
        --responses_to_drop_;
        co_return false;
    }
    auto text = json::serialize(body);
    co_return co_await send(stream, status, std::move(text));
}

/// Sends a response, throttled to the bandwidth that all responses share.
task<bool> metadata_store::send(tcp_stream& stream, http::status status, std::string text) {
    constexpr std::size_t chunk_bytes = 8'192;
    text = escape_surrogates(text);
    bytes_sent_ += static_cast<std::int64_t>(text.size());
    if (bytes_per_second_ == 0) {
        std::vector<std::pair<std::string, std::string>> fields{{"Store-Era", std::to_string(era_)}};
        co_return co_await send_with_fields(stream, status, std::move(text), std::move(fields));
    }
    const std::string response = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) +
                                 " X\r\nStore-Era: " + std::to_string(era_) +
                                 "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    for (std::size_t offset = 0; offset < response.size(); offset += chunk_bytes) {
        const std::string chunk = response.substr(offset, chunk_bytes);
        const auto time = std::chrono::microseconds{static_cast<std::int64_t>(chunk.size()) * 1'000'000 /
                                                    bytes_per_second_};
        link_is_free_at_ = std::max(link_is_free_at_, clock::now()) + time;
        const auto wait =
            std::chrono::duration_cast<std::chrono::microseconds>(link_is_free_at_ - clock::now());
        co_await sleep_for(wait);
        auto [error, size] = co_await asio::async_write(stream, asio::buffer(chunk), use_tuple);
        if (error) {
            co_return false;
        }
    }
    co_return true;
}

json::object metadata_store::respond(const http_request& request, const form_query& query,
                                     http::status& status) {
    const std::string target{request.target()};
    const auto body = parse_json_object(request.body()).value_or(json::object{});
    if (target.starts_with("/v1/kv-key?")) {
        return read_key(query.text("key"), status);
    }
    if (target.starts_with("/v1/kv-range")) {
        return list(query);
    }
    if (target == "/v1/kv-txn") {
        return transact(body, status);
    }
    if (target == "/v1/kv-lease") {
        const auto ttl_ms = integer_member(body, "ttlMs");
        leases_[next_lease_] = clock::now() + std::chrono::milliseconds{ttl_ms};
        return {{"lease", next_lease_++}, {"ttlMs", ttl_ms}};
    }
    if (target.starts_with("/v1/kv-keep/")) {
        const auto lease = leases_.find(last_segment(target));
        if (lease != leases_.end()) {
            lease->second = clock::now() + 60s;
            return {{"ttlMs", 60'000}};
        }
    }
    status = http::status::not_found;
    return {};
}

json::object metadata_store::read_key(const std::string& key, http::status& status) const {
    const auto found = items_.find(key);
    if (found == items_.end()) {
        status = http::status::not_found;
        return {};
    }
    const item& stored = found->second;
    return {{"key", key},
            {"value", base64_encode(stored.value)},
            {"revision", stored.revision},
            {"created", stored.create_revision},
            {"lease", stored.lease},
            {"currentRev", revision_}};
}

/// Lists the keys with a prefix. Pages are short, so that clients must follow up with further reads.
json::object metadata_store::list(const form_query& query) const {
    const std::string prefix = query.text("prefix");
    const std::string after = query.text("after");
    json::array items;
    bool has_more = false;
    for (const auto& [key, stored] : items_) {
        if (!key.starts_with(prefix) || (query.has("after") && key <= after)) {
            continue;
        }
        if (items.size() == page_items_) {
            has_more = true;
            break;
        }
        items.push_back(json::object{{"key", key},
                                     {"value", base64_encode(stored.value)},
                                     {"revision", stored.revision},
                                     {"created", stored.create_revision},
                                     {"lease", stored.lease}});
    }
    return {{"items", std::move(items)}, {"hasMore", has_more}, {"currentRev", revision_}};
}

json::object metadata_store::transact(const json::object& request, http::status& status) {
    const auto* const expected = array_member(request, "expectedRevision");
    const auto* const writes = array_member(request, "setKeys");
    if (expected == nullptr || writes == nullptr) {
        status = http::status::bad_request;
        return {};
    }
    json::array current;
    bool revisions_match = true;
    for (const json::value& each : *expected) {
        const std::string key = string_member(each.as_object(), "key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
        revisions_match = revisions_match && revision == integer_member(each.as_object(), "revision");
        http::status ignored = http::status::ok;
        current.push_back(read_key(key, ignored));
    }
    if (!revisions_match) {
        status = http::status::precondition_failed;
        return {{"items", std::move(current)}};
    }
    for (const json::value& each : *writes) {
        const auto& write = each.as_object();
        put(string_member(write, "key"), base64_decode(string_member(write, "value")).value_or(""),
            integer_member(write, "lease"));
    }
    return {{"revision", revision_}};
}

void metadata_store::put(const std::string& key, const std::string& value, std::int64_t lease) {
    ++revision_;
    const auto found = items_.find(key);
    const std::int64_t create_revision = found == items_.end() ? revision_ : found->second.create_revision;
    items_[key] = {value, revision_, create_revision, lease};
    history_.push_back({key, revision_, items_[key]});
}

void metadata_store::remove(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({key, ++revision_, std::nullopt});
    }
}

void metadata_store::expire_leases() {
    const auto now = clock::now();
    std::vector<std::string> expired;
    for (const auto& [key, stored] : items_) {
        const auto lease = leases_.find(stored.lease);
        if (stored.lease != 0 && (lease == leases_.end() || lease->second < now)) {
            expired.push_back(key);
        }
    }
    std::ranges::for_each(expired, [this](const std::string& key) { remove(key); });
    std::erase_if(leases_, [now](const auto& lease) { return lease.second < now; });
}

json::object metadata_store::events_after(const std::string& prefix, std::int64_t revision) const {
    json::array events;
    for (const event& each : history_) {
        if (each.revision <= revision || !each.key.starts_with(prefix)) {
            continue;
        }
        json::object entry{{"key", each.key}, {"revision", each.revision}};
        if (each.new_item) {
            entry["value"] = base64_encode(each.new_item->value);
            entry["created"] = each.new_item->create_revision;
            entry["lease"] = each.new_item->lease;
        } else {
            entry["removed"] = true;
        }
        events.push_back(std::move(entry));
    }
    return {{"events", std::move(events)}, {"currentRev", revision_}};
}

task<bool> metadata_store::watch(tcp_stream& stream, form_query query) {
    constexpr std::chrono::milliseconds poll_interval = 5ms;
    const auto after = query.number("after");
    const auto era = era_;
    const auto deadline = clock::now() + std::chrono::milliseconds{query.number("waitMs")};
    while (((after == revision_ && era == era_) || watches_suspended_) && clock::now() < deadline &&
           mode_ == "up") {
        co_await sleep_for(poll_interval);
        expire_leases();
    }
    if (mode_ != "up") {
        co_return false;
    }
    if (after < compacted_revision_ || after > revision_ || era != era_) {
        co_return co_await send(stream, http::status::gone, "{}");
    }
    auto events = events_after(query.text("prefix"), after);
    if (watches_suspended_ && clock::now() >= deadline) {
        events["events"] = json::array{};
    }
    auto text = json::serialize(events);
    co_return co_await send(stream, http::status::ok, std::move(text));
}

/// Handles the endpoints by which operators and tests write keys and set faults.
task<bool> metadata_store::handle_control(tcp_stream& stream, http_request request, form_query query) {
    const std::string target{request.target()};
    if (target.starts_with("/standin/key?") && request.method() == http::verb::put) {
        put(query.text("key"), request.body(), 0);
    } else if (target.starts_with("/standin/key?")) {
        remove(query.text("key"));
    } else if (target == "/standin/fault") {
        const auto fault_settings = parse_json_object(request.body()).value_or(json::object{});
        const std::string mode = string_member(fault_settings, "mode");
        mode_ = mode.empty() ? "up" : mode;
        responses_to_drop_ = integer_member(fault_settings, "lose_answers");
        delay_ = std::chrono::milliseconds{integer_member(fault_settings, "delay_ms")};
        bytes_per_second_ = integer_member(fault_settings, "bytes_per_second");
        watches_suspended_ = integer_member(fault_settings, "deaf") != 0;
        const auto page_items = integer_member(fault_settings, "page_items");
        page_items_ = page_items > 0 ? static_cast<std::size_t>(page_items) : default_page_items;
        if (integer_member(fault_settings, "copy") != 0) {
            copy_ = {revision_, items_};
        }
        if (integer_member(fault_settings, "restore") != 0) {
            ++era_;
            revision_ = copy_.revision;
            items_ = copy_.items;
            leases_.clear();
            std::ranges::for_each(items_, [](auto& each) { each.second.lease = 0; });
            history_.clear();
            compacted_revision_ = revision_;
        }
        if (integer_member(fault_settings, "forget_history") != 0) {
            compacted_revision_ = revision_;
            history_.clear();
        }
    }
    json::object status{
        {"revision", revision_}, {"era", era_}, {"calls", calls_}, {"bytes_sent", bytes_sent_}};
    co_return co_await send_json(stream, std::move(status));
}

} // namespace citronwick::standin
