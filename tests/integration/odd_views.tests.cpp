// What citronctl reads of routers, if part of it is odd.

#include "node.hpp"
#include "scripted_worker.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace citronwick;
using namespace citronwick::harness;

namespace {

/// Output of `citronctl status` for a router whose view is given.
command_result status_of(const std::string& view) {
    const scripted_worker router{
        "router", [&](boost::asio::ip::tcp::socket& connection) {
            while (true) {
                const std::string request = read_request(connection);
                const std::string body = request.starts_with("GET /debug/") ? view : "x{ 1\n";
                const std::string response =
                    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                boost::asio::write(connection, boost::asio::buffer(response));
            }
        }};
    const std::string directory = make_directory();
    return run_citronctl({"status", "--routers", to_text(router.entry().address())}, directory + "/ctl.log");
}

} // namespace

TEST_CASE("contract: an odd part of a router's view costs that part of its status") {
    constexpr const char* sound = R"("b":[{"name":"engine-1","state":"ready","in_flight":2}])";
    for (const std::string& services :
         {std::string{R"("a":7,)"} + sound, std::string{R"("a":[7,{"name":7,"in_flight":"x"}],)"} + sound,
          std::string{R"("a":[{"name":"x\u001b[31m\r\n","state":"\u0007"}],)"} + sound}) {
        CAPTURE(services);
        const auto shown =
            status_of(R"({"generation":7,"evacuated":["\u001b[2J"],"services":{)" + services + "}}");
        CHECK(shown.exit == 0);
        CHECK(shown.output.find("engine-1") != std::string::npos);
        CHECK(shown.output.find_first_of("\x1b\x07\r") == std::string::npos);
    }
    for (const char* const view : {R"({"generation":7})", R"({"generation":7,"services":[7]})"}) {
        CAPTURE(view);
        const auto shown = status_of(view);
        CHECK(shown.exit == 0);
        CHECK(shown.output.find('7') != std::string::npos);
    }
}
