#include "node.hpp"

#include "citronwick/io/json_text.hpp"
#include "http_call.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace citronwick::harness {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds start_timeout{15};

} // namespace

std::vector<endpoint> read_port_file(const std::string& file) {
    // The address is the last word of each line.
    std::ifstream input{file};
    std::vector<endpoint> addresses;
    for (std::string line; std::getline(input, line);) {
        const auto parsed = parse_endpoint(line.substr(line.rfind(' ') + 1));
        if (parsed) {
            addresses.push_back(*parsed);
        }
    }
    return addresses;
}

std::string make_directory() {
    std::string name = (std::filesystem::temp_directory_path() / "citronwick-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    return name;
}

void await_addresses(node& target, const std::string& port_file) {
    const bool bound = wait_until(
        [&] { return std::filesystem::exists(port_file) || !target.process->is_running(); }, start_timeout);
    target.addresses = read_port_file(port_file);
    if (!bound || target.addresses.empty()) {
        throw std::runtime_error(target.name + " did not start; see its log, " + target.log);
    }
}

json::object post_json(const endpoint& peer, const std::string& target, const std::string& body) {
    const auto response = http_call(peer, {.method = "POST", .target = target, .body = body});
    return parse_json_object(response.body).value_or(json::object{});
}

std::string binary_path(const std::string& name) {
    const char* const folder = std::getenv("CITRONWICK_BINARIES");
    return std::string{folder == nullptr ? "build/dev" : folder} + "/bin/" + name;
}

endpoint node::address() const {
    return proxy ? proxy->addresses.front() : addresses.front();
}

command_result run_citronctl(std::vector<std::string> arguments, const std::string& log) {
    arguments.insert(arguments.begin(), binary_path("citronctl"));
    child_process command{arguments, log};
    const auto exit = command.wait(std::chrono::seconds{30});
    std::ifstream input{log};
    return {exit.value_or(-1), std::string{std::istreambuf_iterator<char>{input}, {}}};
}

void set_fault(const node& target, const std::string& json) {
    post_json(target.addresses.front(), "/standin/fault", json);
}

void set_proxy_fault(const node& target, const std::string& json) {
    post_json(target.proxy->addresses.at(1), "/standin/fault", json);
}

json::object stats(const node& target) {
    const auto response = http_call(target.addresses.front(), {.target = "/standin/stats"});
    return parse_json_object(response.body).value_or(json::object{});
}

node start_standin_in(const std::string& directory, const std::string& kind, const std::string& name,
                      const std::vector<std::string>& arguments) {
    const std::string port_file = directory + "/" + name + ".ports";
    node started{.name = name, .log = directory + "/" + name + ".log"};
    std::filesystem::remove(port_file);
    std::vector<std::string> command{binary_path("standin"), kind, "--port-file", port_file};
    std::ranges::copy(arguments, std::back_inserter(command));
    started.process = std::make_unique<child_process>(command, started.log);
    await_addresses(started, port_file);
    return started;
}

void set_proxy_target(const node& proxy, const node& target) {
    const std::string body = "{\"target\":\"" + to_text(target.addresses.back()) + "\"}";
    post_json(proxy.addresses.at(1), "/standin/target", body);
}

std::vector<std::string> find_log_lines(const node& source, const std::string& text) {
    std::ifstream input{source.log};
    std::vector<std::string> found;
    for (std::string line; std::getline(input, line);) {
        if (line.find(text) != std::string::npos) {
            found.push_back(line);
        }
    }
    return found;
}

} // namespace citronwick::harness
