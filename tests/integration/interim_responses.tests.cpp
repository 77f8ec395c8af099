// Engines and plain services that announce their responses by interim ones (1xx).

#include "chat.hpp"
#include "citronwick/io/task.hpp"
#include "fleet.hpp"
#include "scripted_worker.hpp"
#include "waiting.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

constexpr unsigned ok = 200;
constexpr int requests = 6;

/// Sends an interim response before each response, whose body is the request's identifier.
void announce_responses(asio::ip::tcp::socket& connection) {
    while (true) {
        const std::string id = field_of(read_request(connection), "X-Request-Id");
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(id.size()) + "\r\n\r\n" + id;
        asio::write(connection, asio::buffer("HTTP/1.1 103 Early Hints\r\n\r\n" + response));
    }
}

node make_entry(const scripted_worker& worker) {
    node entry{.name = worker.entry().name, .failure_domain = "busan-a"};
    entry.addresses = worker.entry().addresses;
    return entry;
}

void check_own_response(const reply& answer) {
    CHECK(answer.status == ok);
    CHECK(answer.body == answer.header("citronwick-request"));
}

} // namespace

TEST_CASE("proof: an interim response is not taken for the response to a chat or of a plain service") {
    const scripted_worker engine{"engine-a", &announce_responses};
    const scripted_worker desk{"desk-a", &announce_responses};
    fleet system{{.routers = 1, .engines = 0, .service_workers = 0, .service = "repeatable = [\"GET\"]"}};
    system.engines().push_back(make_entry(engine));
    system.workers().push_back(make_entry(desk));
    system.publish_vms();
    REQUIRE(system.wait_ready());
    const endpoint& router = system.routers().front().callers();
    const call read{.target = "/services/shop-desk/cups",
                    .headers = {{"Authorization", "Bearer " + team_key("club")}}};
    REQUIRE(wait_until([&] { return http_call(router, read).status < 500; }));
    for (int index = 0; index < requests; ++index) {
        check_own_response(http_call(router, read));
        check_own_response(chat(router, {.chat = "chat-1", .stream = false}).raw);
    }
}
