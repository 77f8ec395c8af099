// Demonstrates the example fleet in examples/hanbit: six routers in three failure
// domains, ten engines, three service workers and the stand-ins of the platform,
// each running as a separate process.

#include "chat.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/io/json_text.hpp"
#include "fleet.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace {

using citronwick::failure;
using citronwick::to_text;
using namespace citronwick::harness;

/// Ends the demo with an error if a step failed.
void require(bool succeeded, const char* step, const std::string& peer, const std::string& detail) {
    if (!succeeded) {
        throw std::runtime_error(to_text(failure{step, peer, detail}));
    }
}

std::string read_declaration(const std::string& file) {
    std::ifstream input{file};
    require(static_cast<bool>(input), "read declaration", file, "cannot be opened");
    return {std::istreambuf_iterator<char>{input}, {}};
}

void print_log_line(const fleet& system, const node& router, const std::string& text) {
    const bool found = wait_until([&] { return !system.log_lines(router, text).empty(); });
    require(found, "read log", router.name, "no line contains " + text);
    std::cout << "   log of " << router.name << ": " << system.log_lines(router, text).back() << "\n";
}

void show_chat(fleet& system) {
    const std::string history(8'000, 'd');
    const auto& first = system.routers()[0];
    const auto& second = system.routers()[3];
    const auto first_reply = chat(first.callers(), {.chat = "cup-17", .prompt = history, .tokens = 12});
    require(first_reply.is_complete(12), "stream a response", first.name,
            first_reply.raw.error + " " + first_reply.raw.body);
    std::cout << "1. a streamed response through " << first.name << " from "
              << first_reply.raw.header("Citronwick-Upstream") << ": " << first_reply.text << "\n";
    print_log_line(system, first, "chat=cup-17");
    const auto second_reply =
        chat(second.callers(), {.chat = "cup-17",
                                .prompt = history + first_reply.text + "and the handle?",
                                .tokens = 12,
                                .hint = first_reply.raw.header("Citronwick-Context")});
    require(second_reply.is_complete(12), "stream a response", second.name,
            second_reply.raw.error + " " + second_reply.raw.body);
    const bool same =
        second_reply.raw.header("Citronwick-Upstream") == first_reply.raw.header("Citronwick-Upstream");
    require(same && second_reply.cached_tokens > 0, "place the chat on the engine that caches it",
            second.name, "the cache was not hit");
    std::cout << "2. the next turn of the chat goes through " << second.name
              << " to the same engine: " << second_reply.cached_tokens << " of " << second_reply.prompt_tokens
              << " prompt tokens from its cache\n";
    print_log_line(system, second, "chat=cup-17");
}

void show_booking(fleet& system) {
    const auto& router = system.routers()[1];
    const call booking{.method = "POST",
                       .target = "/services/shop-desk/bookings",
                       .body = R"({"order":"cup-17-polish"})",
                       .headers = {{"Authorization", "Bearer " + team_key("club")}}};
    const auto booked = http_call(router.callers(), booking);
    require(booked.status == 201, "book", router.name, booked.body);
    const auto repeated = http_call(router.callers(), booking);
    require(repeated.body == booked.body, "repeat a booking", router.name, repeated.body);
    std::cout
        << "3. a booking runs once; a repeated request gets the recorded response (Citronwick-Replayed: "
        << repeated.header("Citronwick-Replayed") << ")\n";
    print_log_line(system, router, "event=claim");
    const auto status_reply =
        http_call(router.callers(), {.target = "/services/shop-desk/bookings/cup-17-polish",
                                     .headers = {{"Authorization", "Bearer " + team_key("club")}}});
    require(status_reply.status == 200, "ask for the status", router.name, status_reply.body);
    std::cout << "4. a status request: " << status_reply.body << "\n";
}

void show_preset(fleet& system) {
    const auto used = system.ctl({"preset", "use", "peak", "--reason", "club season"});
    require(used.exit == 0, "change the preset", "citronctl", used.output);
    require(system.wait_generation(2), "put the preset in force", "routers", "not all routers have it");
    std::cout << "5. " << used.output;
    for (const auto& router : system.routers()) {
        print_log_line(system, router, "event=configuration_in_force");
    }
}

std::string operator_addresses(fleet& system) {
    std::string addresses;
    for (const auto& router : system.routers()) {
        addresses += (addresses.empty() ? "" : ",") + to_text(router.operators());
    }
    return addresses;
}

void run() {
    fleet system{{.declaration = read_declaration("examples/hanbit/fleet.toml")}};
    require(system.wait_ready(), "start the fleet", "routers", "not all routers are ready");
    std::cout << "fleet: 6 routers in 3 failure domains, 10 engines, 3 service workers\n";
    show_chat(system);
    show_booking(system);
    show_preset(system);
    const auto status = system.ctl({"status", "--routers", operator_addresses(system)}, false);
    require(status.exit == 0, "show the status", "citronctl", status.output);
    std::cout << "6. citronctl status\n" << status.output;
}

} // namespace

int main() {
    try {
        run();
    } catch (const std::exception& error) {
        std::cerr << "demo: " << error.what() << "\n";
        return 1;
    }
    std::cout << "demo: ok\n";
    return 0;
}
