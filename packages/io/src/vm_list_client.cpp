#include "citronwick/io/vm_list_client.hpp"

#include "citronwick/io/http_connection.hpp"
#include "citronwick/io/json_text.hpp"

namespace citronwick {

namespace {

constexpr std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;

class http_vm_list_client final : public vm_list_client {
public:
    http_vm_list_client(const asio::any_io_executor& executor, endpoint server,
                        std::chrono::milliseconds timeout)
        : connection_{executor, std::move(server), max_body_bytes}, timeout_{timeout} {}

    task<io_result<std::optional<vm_list_document>>> fetch(std::uint64_t known_version) override {
        http_request request{http::verb::get, "/vms", 11};
        request.set(http::field::if_none_match, "\"" + std::to_string(known_version) + "\"");
        auto response = co_await connection_.exchange(std::move(request), timeout_);
        if (response.has_error()) {
            co_return response.error();
        }
        if (response->result() == http::status::not_modified) {
            co_return std::optional<vm_list_document>{};
        }
        const auto parsed = parse_json_object(response->body());
        if (response->result() != http::status::ok || !parsed) {
            co_return failure{"read VM list", to_text(connection_.peer()),
                              "unexpected status, or body is not a JSON object"};
        }
        const auto version = static_cast<std::uint64_t>(integer_member(*parsed, "version"));
        co_return std::optional{vm_list_document{version, std::move(response->body())}};
    }

    std::uint64_t take_byte_count() override {
        const auto bytes = connection_.take_byte_count();
        return bytes.sent + bytes.received;
    }

private:
    http_connection connection_;
    std::chrono::milliseconds timeout_;
};

} // namespace

vm_list_client::~vm_list_client() = default;

std::unique_ptr<vm_list_client> make_http_vm_list_client(const asio::any_io_executor& executor,
                                                         endpoint server, std::chrono::milliseconds timeout) {
    return std::make_unique<http_vm_list_client>(executor, std::move(server), timeout);
}

} // namespace citronwick
