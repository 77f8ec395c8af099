#include "citronwick/io/etcd_gateway_client.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/http_connection.hpp"
#include "citronwick/io/json_text.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

namespace json = boost::json;

constexpr std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;

http_request post(std::string_view path, const json::object& body) {
    http_request request{http::verb::post, path, 11};
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(body);
    return request;
}

std::optional<kv_entry> first_entry(const json::object& range) {
    const auto* const kvs = array_member(range, "kvs");
    if (kvs == nullptr || kvs->empty() || !kvs->front().is_object()) {
        return std::nullopt;
    }
    const auto& found = kvs->front().as_object();
    return kv_entry{base64_decode(string_member(found, "value")).value_or(""),
                    integer_member(found, "create_revision"), integer_member(found, "mod_revision")};
}

std::int64_t header_revision(const json::object& response) {
    const auto* const header = object_member(response, "header");
    return header == nullptr ? 0 : integer_member(*header, "revision");
}

json::object range_request(const std::string& key) {
    return {{"key", base64_encode(key)}};
}

/// Transaction for a compare-and-swap: puts the value if the revision matches, else reads the entry.
json::object swap_transaction(const std::string& key, std::int64_t expected_revision,
                              const std::string& value, std::int64_t lease) {
    const json::object comparison{{"key", base64_encode(key)},
                                  {"target", "MOD"},
                                  {"result", "EQUAL"},
                                  {"mod_revision", std::to_string(expected_revision)}};
    json::object put{{"key", base64_encode(key)}, {"value", base64_encode(value)}};
    if (lease != 0) {
        put["lease"] = std::to_string(lease);
    }
    return {{"compare", json::array{comparison}},
            {"success", json::array{json::object{{"request_put", put}}}},
            {"failure", json::array{json::object{{"request_range", range_request(key)}}}}};
}

http_request watch_request(const std::string& key, std::int64_t after_revision) {
    json::object create{{"key", base64_encode(key)}, {"start_revision", std::to_string(after_revision + 1)}};
    return post("/v3/watch", json::object{{"create_request", std::move(create)}});
}

swap_outcome parse_swap(const json::object& response) {
    const auto* const succeeded = response.if_contains("succeeded");
    swap_outcome outcome{succeeded != nullptr && succeeded->is_bool() && succeeded->as_bool(),
                         header_revision(response)};
    const auto* const responses = array_member(response, "responses");
    if (!outcome.succeeded && responses != nullptr && !responses->empty() && responses->front().is_object()) {
        const auto* const range = object_member(responses->front().as_object(), "response_range");
        outcome.current = range == nullptr ? std::nullopt : first_entry(*range);
    }
    return outcome;
}

class etcd_gateway_client final : public kv_client {
public:
    etcd_gateway_client(asio::any_io_executor executor, std::vector<endpoint> servers,
                        std::chrono::milliseconds timeout)
        : executor_{std::move(executor)}, servers_{std::move(servers)}, timeout_{timeout} {}

    task<io_result<std::optional<kv_entry>>> read(std::string key) override {
        auto body = range_request(key);
        auto response = co_await call("/v3/kv/range", std::move(body));
        if (response.has_error()) {
            co_return response.error();
        }
        co_return first_entry(*response);
    }

    task<io_result<swap_outcome>> compare_and_swap(std::string key, std::int64_t expected_revision,
                                                   std::string value, std::int64_t lease) override {
        auto body = swap_transaction(key, expected_revision, value, lease);
        auto response = co_await call("/v3/kv/txn", std::move(body));
        if (response.has_error()) {
            co_return response.error();
        }
        auto outcome = parse_swap(*response);
        if (outcome.succeeded && outcome.revision <= 0) {
            co_return failure{"/v3/kv/txn", to_text(servers_[server_]), "the response names no revision",
                              true};
        }
        co_return outcome;
    }

    task<io_result<kv_lease>> grant_lease(std::chrono::seconds time_to_live) override {
        json::object body;
        body["TTL"] = std::to_string(time_to_live.count());
        auto response = co_await call("/v3/lease/grant", std::move(body));
        if (response.has_error()) {
            co_return response.error();
        }
        const auto lease = integer_member(*response, "ID");
        if (lease <= 0) {
            co_return failure{"/v3/lease/grant", to_text(servers_[server_]), "the response names no lease",
                              true};
        }
        co_return kv_lease{lease, std::chrono::seconds{integer_member(*response, "TTL")}};
    }

    task<io_result<bool>> wait_for_change(std::string key, std::int64_t after_revision,
                                          std::chrono::milliseconds timeout) override {
        const auto deadline = clock::now() + timeout;
        http_connection connection{executor_, servers_[server_], max_body_bytes};
        auto request = watch_request(key, after_revision);
        auto sent = co_await connection.send(std::move(request), timeout_);
        if (sent.has_error()) {
            select_next_server();
            co_return sent.error();
        }
        auto changed = co_await wait_for_event(connection, deadline);
        add_bytes(connection);
        co_return changed;
    }

    std::uint64_t take_byte_count() override { return std::exchange(bytes_, 0); }

private:
    /// Reads the streamed watch response until an event arrives or the deadline passes.
    static task<io_result<bool>> wait_for_event(http_connection& connection, time_point deadline) {
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        std::array<char, 4096> chunk{};
        std::string text;
        while (true) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            connection.stream().expires_at(deadline);
            auto [error, read] =
                co_await http::async_read_some(connection.stream(), connection.buffer(), parser, use_tuple);
            text.append(chunk.data(), chunk.size() - parser.get().body().size);
            if (text.find("\"events\"") != std::string::npos) {
                co_return true;
            }
            if (error == boost::beast::error::timeout) {
                co_return false;
            }
            if (parser.is_done() || (error && error != http::error::need_buffer)) {
                co_return failure{"watch", to_text(connection.peer()),
                                  error ? error.message() : "the server ended the watch"};
            }
        }
    }

    task<io_result<json::object>> call(std::string_view path, json::object body) {
        http_connection connection{executor_, servers_[server_], max_body_bytes};
        auto request = post(path, body);
        auto response = co_await connection.exchange(std::move(request), timeout_);
        add_bytes(connection);
        if (response.has_error()) {
            select_next_server();
            co_return response.error();
        }
        const std::string peer = to_text(connection.peer());
        if (response->result() != http::status::ok) {
            co_return failure{std::string{path}, peer, "status " + std::to_string(response->result_int()),
                              true};
        }
        auto parsed = parse_json_object(response->body());
        if (!parsed) {
            co_return failure{std::string{path}, peer, "response is not a JSON object", true};
        }
        co_return std::move(*parsed);
    }

    void select_next_server() { server_ = (server_ + 1) % servers_.size(); }

    void add_bytes(http_connection& connection) {
        const auto bytes = connection.take_byte_count();
        bytes_ += bytes.sent + bytes.received;
    }

    asio::any_io_executor executor_;
    std::vector<endpoint> servers_;
    std::chrono::milliseconds timeout_;
    std::size_t server_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace

std::unique_ptr<kv_client> make_etcd_gateway_client(const asio::any_io_executor& executor,
                                                    std::vector<endpoint> servers,
                                                    std::chrono::milliseconds timeout) {
    return std::make_unique<etcd_gateway_client>(executor, std::move(servers), timeout);
}

} // namespace citronwick
