#include "citronwick/io/vm_list_client.hpp"

#include "citronwick/io/http_connection.hpp"
#include "citronwick/io/json_text.hpp"

namespace citronwick {

namespace {

constexpr std::uint64_t body_limit = std::uint64_t{4} << 20U;

class http_vm_list_client final : public vm_list_client {
public:
    http_vm_list_client(const asio::any_io_executor& executor, endpoint server,
                        std::chrono::milliseconds timeout)
        : connection_{executor, std::move(server), body_limit}, timeout_{timeout} {}

    task<io_result<std::optional<vm_list_document>>> fetch(std::uint64_t known_version) override {
        http_request request{http::verb::get, "/vms", 11};
        request.set(http::field::if_none_match, "\"" + std::to_string(known_version) + "\"");
        auto answer = co_await connection_.exchange(std::move(request), timeout_);
        if (answer.has_error()) {
            co_return answer.error();
        }
        if (answer->result() == http::status::not_modified) {
            co_return std::optional<vm_list_document>{};
        }
        const auto parsed = parse_json_object(answer->body());
        if (answer->result() != http::status::ok || !parsed) {
            co_return failure{"read VM list", to_text(connection_.peer()), "unusable answer"};
        }
        const auto version = static_cast<std::uint64_t>(integer_member(*parsed, "version"));
        co_return std::optional{vm_list_document{version, std::move(answer->body())}};
    }

    std::uint64_t take_byte_count() override {
        const auto moved = connection_.take_byte_count();
        return moved.sent + moved.received;
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
