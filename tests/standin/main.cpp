#include "engine.hpp"
#include "fault_proxy.hpp"
#include "key_value_service.hpp"
#include "metadata_store.hpp"
#include "plain_service.hpp"
#include "routed_worker.hpp"
#include "vm_list_service.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <memory>
#include <vector>

namespace {

namespace standin = citronwick::standin;
using arguments = std::map<std::string, docopt::value>;

constexpr const char* usage = R"(standin: small stand-ins of the systems around the routers.

Usage:
  standin engine --port-file FILE [--ip IP] [--count N] [--cache-tokens N] [--prefill-us N]
                 [--decode-us N] [--slots N] [--report-lag-ms N]
  standin service --port-file FILE [--ip IP]
  standin store --port-file FILE [--ip IP]
  standin worker --port-file FILE [--ip IP] --id ID
  standin kv --port-file FILE [--ip IP]
  standin vmlist --port-file FILE [--ip IP]
  standin proxy --port-file FILE [--ip IP]
  standin (-h | --help)

Options:
  --port-file FILE    Bound addresses are written here, one a line.
  --ip IP             Address to listen on [default: 127.0.0.1].
  --count N           Engines in this process [default: 1].
  --cache-tokens N    Prompt tokens that an engine's cache holds [default: 400000].
  --prefill-us N      Microseconds for one uncached prompt token [default: 50].
  --decode-us N       Microseconds for one token on an idle engine [default: 2000].
  --slots N           Requests that an engine runs at once [default: 16].
  --id ID             Identifier of a worker.
  --report-lag-ms N   Age of the load that an engine reports [default: 250].
)";

/// Bound addresses and the objects that serve them.
struct running {
    std::vector<citronwick::endpoint> addresses;
    std::vector<std::shared_ptr<void>> servers;
};

using context = boost::asio::io_context;

template <class Server, class... Arguments>
std::shared_ptr<Server> add(running& all, context& io, Arguments&&... more) {
    auto server = std::make_shared<Server>(io, std::forward<Arguments>(more)...);
    all.addresses.push_back(server->address());
    all.servers.push_back(server);
    return server;
}

void start_engines(running& all, context& io, const std::string& ip, const arguments& options) {
    const standin::engine_settings settings{
        static_cast<std::size_t>(options.at("--cache-tokens").asLong()),
        std::chrono::microseconds{options.at("--prefill-us").asLong()},
        std::chrono::microseconds{options.at("--decode-us").asLong()},
        static_cast<std::size_t>(options.at("--slots").asLong()),
        std::chrono::milliseconds{options.at("--report-lag-ms").asLong()},
    };
    for (long index = 0; index < options.at("--count").asLong(); ++index) {
        add<standin::engine>(all, io, ip, settings);
    }
}

void start_proxy(running& all, context& io, const std::string& ip) {
    const auto proxy = add<standin::fault_proxy>(all, io, ip);
    all.addresses.push_back(proxy->control_address());
}

running start(context& io, const arguments& options) {
    running all;
    const std::string ip = options.at("--ip").asString();
    if (options.at("engine").asBool()) {
        start_engines(all, io, ip, options);
    } else if (options.at("service").asBool()) {
        add<standin::plain_service>(all, io, ip);
    } else if (options.at("store").asBool()) {
        add<standin::metadata_store>(all, io, ip);
    } else if (options.at("worker").asBool()) {
        add<standin::routed_worker>(all, io, ip, options.at("--id").asString());
    } else if (options.at("kv").asBool()) {
        add<standin::key_value_service>(all, io, ip);
    } else if (options.at("vmlist").asBool()) {
        add<standin::vm_list_service>(all, io, ip);
    } else {
        start_proxy(all, io, ip);
    }
    return all;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = docopt::docopt(usage, {argv + 1, argv + argc});
    context io{1};
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    const auto all = start(io, options);
    standin::write_port_file(options.at("--port-file").asString(), all.addresses);
    io.run();
    std::_Exit(0);
}
