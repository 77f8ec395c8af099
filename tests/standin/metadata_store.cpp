#include "metadata_store.hpp"

#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ranges>
#include <vector>

namespace citronwick::standin {

namespace {

namespace json = boost::json;
using boost::beast::tcp_stream;
using namespace std::chrono_literals;

std::string parameter(const std::string& target, const std::string& name) {
    const auto found = target.find(name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::int64_t number(const std::string& text) {
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

metadata_store::metadata_store(asio::io_context& context, const std::string& ip)
    : server_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                  return handle(stream, std::move(request));
              }} {}

task<bool> metadata_store::handle(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    if (target.starts_with("/standin/")) {
        co_return co_await operate(stream, std::move(request));
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
        co_return co_await watch(stream, target);
    }
    http::status status = http::status::ok;
    auto body = answer(request, status);
    if (request.method() == http::verb::post && answers_to_lose_ > 0) {
        --answers_to_lose_;
        co_return false;
    }
    auto text = json::serialize(body);
    co_return co_await send(stream, status, std::move(text));
}

/// Sends an answer, at the pace of a link that all answers share.
task<bool> metadata_store::send(tcp_stream& stream, http::status status, std::string text) {
    constexpr std::size_t piece = 8'192;
    bytes_sent_ += static_cast<std::int64_t>(text.size());
    if (bytes_per_second_ == 0) {
        co_return co_await reply(stream, status, std::move(text));
    }
    const std::string whole = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) +
                              " X\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    for (std::size_t at = 0; at < whole.size(); at += piece) {
        const std::string part = whole.substr(at, piece);
        const auto time =
            std::chrono::microseconds{static_cast<std::int64_t>(part.size()) * 1'000'000 / bytes_per_second_};
        link_is_free_at_ = std::max(link_is_free_at_, clock::now()) + time;
        const auto wait =
            std::chrono::duration_cast<std::chrono::microseconds>(link_is_free_at_ - clock::now());
        co_await sleep_for(wait);
        auto [error, size] = co_await asio::async_write(stream, asio::buffer(part), use_tuple);
        if (error) {
            co_return false;
        }
    }
    co_return true;
}

json::object metadata_store::answer(const http_request& request, http::status& status) {
    const std::string target{request.target()};
    const auto body = parse_json_object(request.body()).value_or(json::object{});
    if (target.starts_with("/v1/kv-key?")) {
        return read_key(parameter(target, "key"), status);
    }
    if (target.starts_with("/v1/kv-range")) {
        return list(target);
    }
    if (target == "/v1/kv-txn") {
        return transact(body, status);
    }
    if (target == "/v1/kv-lease") {
        const auto time = integer_member(body, "ttlMs");
        leases_[next_lease_] = clock::now() + std::chrono::milliseconds{time};
        return {{"lease", next_lease_++}, {"ttlMs", time}};
    }
    if (target.starts_with("/v1/kv-keep/")) {
        const auto lease = leases_.find(number(target.substr(target.rfind('/') + 1)));
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
    const item& held = found->second;
    return {{"key", key},
            {"value", base64_encode(held.value)},
            {"revision", held.revision},
            {"created", held.created},
            {"lease", held.lease},
            {"currentRev", revision_}};
}

/// Pages are short, so that their joins are exercised.
json::object metadata_store::list(const std::string& target) const {
    constexpr std::size_t page = 3;
    const std::string prefix = parameter(target, "prefix");
    const std::string after = parameter(target, "after");
    json::array items;
    bool has_more = false;
    for (const auto& [key, held] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (items.size() == page) {
            has_more = true;
            break;
        }
        items.push_back(json::object{{"key", key},
                                     {"value", base64_encode(held.value)},
                                     {"revision", held.revision},
                                     {"created", held.created},
                                     {"lease", held.lease}});
    }
    return {{"items", std::move(items)}, {"hasMore", has_more}, {"currentRev", revision_}};
}

json::object metadata_store::transact(const json::object& request, http::status& status) {
    json::array current;
    bool holds = true;
    for (const json::value& each : *array_member(request, "expectedRevision")) {
        const std::string key = string_member(each.as_object(), "key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == integer_member(each.as_object(), "revision");
        http::status ignored = http::status::ok;
        current.push_back(read_key(key, ignored));
    }
    if (!holds) {
        status = http::status::precondition_failed;
        return {{"items", std::move(current)}};
    }
    for (const json::value& each : *array_member(request, "setKeys")) {
        const auto& write = each.as_object();
        put(string_member(write, "key"), base64_decode(string_member(write, "value")).value_or(""),
            integer_member(write, "lease"));
    }
    return {{"revision", revision_}};
}

void metadata_store::put(const std::string& key, const std::string& value, std::int64_t lease) {
    ++revision_;
    const auto found = items_.find(key);
    const std::int64_t created = found == items_.end() ? revision_ : found->second.created;
    items_[key] = {value, revision_, created, lease};
    history_.push_back({key, revision_, items_[key]});
}

void metadata_store::remove(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({key, ++revision_, std::nullopt});
    }
}

void metadata_store::expire_leases() {
    const auto now = clock::now();
    std::vector<std::string> ended;
    for (const auto& [key, held] : items_) {
        const auto lease = leases_.find(held.lease);
        if (held.lease != 0 && (lease == leases_.end() || lease->second < now)) {
            ended.push_back(key);
        }
    }
    std::ranges::for_each(ended, [this](const std::string& key) { remove(key); });
    std::erase_if(leases_, [now](const auto& lease) { return lease.second < now; });
}

json::object metadata_store::events_after(const std::string& prefix, std::int64_t revision) const {
    json::array events;
    for (const event& each : history_) {
        if (each.revision <= revision || !each.key.starts_with(prefix)) {
            continue;
        }
        json::object entry{{"key", each.key}, {"revision", each.revision}};
        if (each.now) {
            entry["value"] = base64_encode(each.now->value);
            entry["created"] = each.now->created;
            entry["lease"] = each.now->lease;
        } else {
            entry["removed"] = true;
        }
        events.push_back(std::move(entry));
    }
    return {{"events", std::move(events)}, {"currentRev", revision_}};
}

task<bool> metadata_store::watch(tcp_stream& stream, std::string target) {
    constexpr std::chrono::milliseconds look = 5ms;
    const auto after = number(parameter(target, "after"));
    const auto deadline = clock::now() + std::chrono::milliseconds{number(parameter(target, "waitMs"))};
    while ((after == revision_ || is_deaf_) && clock::now() < deadline && mode_ == "up") {
        co_await sleep_for(look);
        expire_leases();
    }
    if (mode_ != "up") {
        co_return false;
    }
    if (after < forgotten_revision_) {
        co_return co_await send(stream, http::status::gone, "{}");
    }
    auto events = events_after(parameter(target, "prefix"), after);
    if (is_deaf_ && clock::now() >= deadline) {
        events["events"] = json::array{};
    }
    auto text = json::serialize(events);
    co_return co_await send(stream, http::status::ok, std::move(text));
}

/// The operator's and the test's side.
task<bool> metadata_store::operate(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    const std::string key = target.substr(std::min(target.find('?'), target.size() - 1) + 1);
    if (target.starts_with("/standin/key?") && request.method() == http::verb::put) {
        put(key, request.body(), 0);
    } else if (target.starts_with("/standin/key?")) {
        remove(key);
    } else if (target == "/standin/fault") {
        const auto order = parse_json_object(request.body()).value_or(json::object{});
        const std::string mode = string_member(order, "mode");
        mode_ = mode.empty() ? "up" : mode;
        answers_to_lose_ = integer_member(order, "lose_answers");
        delay_ = std::chrono::milliseconds{integer_member(order, "delay_ms")};
        bytes_per_second_ = integer_member(order, "bytes_per_second");
        is_deaf_ = integer_member(order, "deaf") != 0;
        if (integer_member(order, "forget_history") != 0) {
            forgotten_revision_ = revision_;
            history_.clear();
        }
    }
    json::object status{{"revision", revision_}, {"calls", calls_}, {"bytes_sent", bytes_sent_}};
    co_return co_await reply_json(stream, std::move(status));
}

} // namespace citronwick::standin
