#include "key_value_service.hpp"

#include "citronwick/io/json_text.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick::standin {

namespace {

namespace json = boost::json;
using boost::beast::tcp_stream;
using namespace std::chrono_literals;

constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;

std::string key_of(const json::object& request) {
    return base64_decode(string_member(request, "key")).value_or("");
}

const json::object* first_object(const json::object& request, std::string_view name) {
    const auto* const list = array_member(request, name);
    return list == nullptr || list->empty() ? nullptr : list->front().if_object();
}

task<bool> write_chunk(tcp_stream& stream, std::string text) {
    const auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, size] = co_await asio::async_write(stream, chunk, use_tuple);
    co_return !error;
}

} // namespace

key_value_service::key_value_service(asio::io_context& context, const std::string& ip)
    : server_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                  return handle(stream, std::move(request));
              }} {}

json::object key_value_service::header() const {
    return {{"revision", std::to_string(revision_)}};
}

void key_value_service::set_faults(const json::object& fault_settings) {
    outage_ = integer_member(fault_settings, "outage") != 0;
    unresponsive_ = integer_member(fault_settings, "silence") != 0;
    stale_watches_ = integer_member(fault_settings, "stale_watches") != 0;
    delay_ = std::chrono::milliseconds{integer_member(fault_settings, "delay_ms")};
    responses_to_drop_ = integer_member(fault_settings, "lose_answers");
    if (integer_member(fault_settings, "back_up") != 0) {
        backup_ = {revision_, values_};
    }
    if (integer_member(fault_settings, "restore") != 0) {
        revision_ = backup_.revision;
        values_ = backup_.values;
    }
}

json::object key_value_service::statistics() const {
    return {{"reads", reads_},
            {"writes", writes_},
            {"watches", watches_},
            {"open_watches", open_watches_},
            {"keys", values_.size()}};
}

void key_value_service::expire_leases() {
    const auto now = clock::now();
    std::erase_if(leases_, [now](const auto& lease) { return lease.second <= now; });
    std::erase_if(values_, [this](const auto& value) {
        return value.second.lease != 0 && !leases_.contains(value.second.lease);
    });
}

task<bool> key_value_service::handle(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    const auto body = parse_json_object(request.body()).value_or(json::object{});
    if (target == "/standin/fault") {
        set_faults(body);
        json::object response{{"ok", true}};
        co_return co_await send_json(stream, std::move(response));
    }
    if (target == "/standin/stats") {
        expire_leases();
        co_return co_await send_json(stream, statistics());
    }
    if (outage_) {
        co_return false;
    }
    while (unresponsive_) {
        co_await sleep_for(5ms);
    }
    if (delay_.count() > 0) {
        co_await sleep_for(delay_);
    }
    expire_leases();
    if (target == "/v3/watch") {
        co_return co_await watch(stream, body);
    }
    const auto revision_before = revision_;
    auto response = respond(target, body);
    if (revision_ != revision_before && responses_to_drop_ > 0) {
        --responses_to_drop_;
        co_return false;
    }
    if (!response) {
        co_return co_await send_response(stream, http::status::bad_request,
                                         R"({"code":3,"message":"refused"})");
    }
    co_return co_await send_json(stream, std::move(*response));
}

std::optional<json::object> key_value_service::respond(const std::string& target,
                                                       const json::object& request) {
    if (target == "/v3/kv/range") {
        ++reads_;
        return range(request);
    }
    if (target == "/v3/kv/txn") {
        ++writes_;
        return transact(request);
    }
    if (target == "/v3/lease/grant") {
        ++writes_;
        return grant(request);
    }
    return std::nullopt;
}

json::object key_value_service::range(const json::object& request) const {
    json::array found;
    const std::string key = key_of(request);
    if (const auto value = values_.find(key); value != values_.end()) {
        found.push_back(json::object{{"key", base64_encode(key)},
                                     {"value", base64_encode(value->second.value)},
                                     {"create_revision", std::to_string(value->second.create_revision)},
                                     {"mod_revision", std::to_string(value->second.mod_revision)}});
    }
    return {{"header", header()}, {"kvs", std::move(found)}};
}

std::optional<json::object> key_value_service::transact(const json::object& request) {
    const auto* const comparison = first_object(request, "compare");
    const auto* const success_branch = first_object(request, "success");
    const auto* const failure_branch = first_object(request, "failure");
    const auto* const put_request =
        success_branch == nullptr ? nullptr : object_member(*success_branch, "request_put");
    if (comparison == nullptr || put_request == nullptr) {
        return std::nullopt;
    }
    const auto found = values_.find(key_of(*comparison));
    const std::int64_t current = found == values_.end() ? 0 : found->second.mod_revision;
    if (current == integer_member(*comparison, "mod_revision")) {
        if (!put(*put_request)) {
            return std::nullopt;
        }
        return json::object{{"header", header()}, {"succeeded", true}};
    }
    json::array responses;
    const auto* const range_request =
        failure_branch == nullptr ? nullptr : object_member(*failure_branch, "request_range");
    if (range_request != nullptr) {
        responses.push_back(json::object{{"response_range", range(*range_request)}});
    }
    return json::object{{"header", header()}, {"succeeded", false}, {"responses", std::move(responses)}};
}

bool key_value_service::put(const json::object& request) {
    const std::int64_t lease = integer_member(request, "lease");
    auto value = base64_decode(string_member(request, "value"));
    if (!value || value->size() > max_value_bytes || (lease != 0 && !leases_.contains(lease))) {
        return false;
    }
    ++revision_;
    stored_value& target = values_[key_of(request)];
    const std::int64_t created = target.create_revision == 0 ? revision_ : target.create_revision;
    target = {std::move(*value), created, revision_, lease};
    return true;
}

json::object key_value_service::grant(const json::object& request) {
    const std::int64_t ttl = integer_member(request, "TTL");
    const std::int64_t id = next_lease_++;
    leases_[id] = clock::now() + std::chrono::seconds{ttl};
    return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
}

task<bool> key_value_service::watch(tcp_stream& stream, const json::object& request) {
    const auto* const create = object_member(request, "create_request");
    if (create == nullptr) {
        co_return false;
    }
    ++watches_;
    ++open_watches_;
    const std::string key = key_of(*create);
    const std::int64_t start_revision = integer_member(*create, "start_revision");
    http::response<http::empty_body> response{http::status::ok, 11};
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer{response};
    auto [error, size] = co_await http::async_write_header(stream, serializer, use_tuple);
    bool open = !error && co_await write_chunk(stream, R"({"result":{"created":true}})"
                                                       "\n");
    while (open && !outage_) {
        const auto found = values_.find(key);
        if (!stale_watches_ && found != values_.end() && found->second.mod_revision >= start_revision) {
            json::object changed{{"events", json::array{json::object{{"type", "PUT"}}}}};
            auto line = json::serialize(json::object{{"result", std::move(changed)}}) + "\n";
            co_await write_chunk(stream, std::move(line));
            break;
        }
        co_await sleep_for(2ms);
        open = !is_closed(stream);
    }
    --open_watches_;
    co_return false;
}

} // namespace citronwick::standin
