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

constexpr const char* usage = R"(standin: stand-ins for the systems that the routers depend on.

Usage:
  standin engine --port-file FILE [--ip IP] [--count N] [--cache-tokens N] [--prefill-us N]
                 [--decode-us N] [--slots N] [--report-lag-ms N]
  standin service --port-file FILE [--ip IP]
  standin store --port-file FILE [--ip IP]
  standin worker --port-file FILE [--ip IP] --id ID [--software VERSION] [--port N] [--born MS]
  standin kv --port-file FILE [--ip IP]
  standin vmlist --port-file FILE [--ip IP]
  standin proxy --port-file FILE [--ip IP]
  standin (-h | --help)

Options:
  --port-file FILE    File that receives the bound addresses, one per line.
  --ip IP             Address to listen on [default: 127.0.0.1].
  --count N           Engines in this process [default: 1].
  --cache-tokens N    Capacity of an engine's prefix cache in prompt tokens [default: 400000].
  --prefill-us N      Prefill time per uncached prompt token in microseconds [default: 50].
  --decode-us N       Decoding time per token on an idle engine in microseconds [default: 2000].
  --slots N           Maximum of concurrent requests of an engine [default: 16].
  --id ID             Identifier of a worker.
  --software VERSION  Version that a worker names in the events of its streams.
  --born MS           Time of a worker's start that it reports, 0 for none [default: 0].
  --port N            Port that a worker listens on [default: 0].
  --report-lag-ms N   Maximum age of the load that an engine reports, in milliseconds [default: 250].
)";

/// The running servers and the addresses on which they listen.
struct running_servers {
    std::vector<citronwick::endpoint> addresses;
    std::vector<std::shared_ptr<void>> servers;
};

using context = boost::asio::io_context;

template <class Server, class... Arguments>
std::shared_ptr<Server> add_server(running_servers& started, context& io, Arguments&&... extra) {
    auto server = std::make_shared<Server>(io, std::forward<Arguments>(extra)...);
    started.addresses.push_back(server->address());
    started.servers.push_back(server);
    return server;
}

void start_engines(running_servers& started, context& io, const std::string& ip, const arguments& options) {
    const standin::engine_settings settings{
        static_cast<std::size_t>(options.at("--cache-tokens").asLong()),
        std::chrono::microseconds{options.at("--prefill-us").asLong()},
        std::chrono::microseconds{options.at("--decode-us").asLong()},
        static_cast<std::size_t>(options.at("--slots").asLong()),
        std::chrono::milliseconds{options.at("--report-lag-ms").asLong()},
    };
    for (long index = 0; index < options.at("--count").asLong(); ++index) {
        add_server<standin::engine>(started, io, ip, settings);
    }
}

void start_proxy(running_servers& started, context& io, const std::string& ip) {
    const auto proxy = add_server<standin::fault_proxy>(started, io, ip);
    started.addresses.push_back(proxy->control_address());
}

running_servers start(context& io, const arguments& options) {
    running_servers started;
    const std::string ip = options.at("--ip").asString();
    if (options.at("engine").asBool()) {
        start_engines(started, io, ip, options);
    } else if (options.at("service").asBool()) {
        add_server<standin::plain_service>(started, io, ip);
    } else if (options.at("store").asBool()) {
        add_server<standin::metadata_store>(started, io, ip);
    } else if (options.at("worker").asBool()) {
        const auto& version = options.at("--software");
        add_server<standin::routed_worker>(started, io, ip, options.at("--id").asString(),
                                           static_cast<std::uint16_t>(options.at("--port").asLong()),
                                           options.at("--born").asLong(),
                                           version ? version.asString() : std::string{});
    } else if (options.at("kv").asBool()) {
        add_server<standin::key_value_service>(started, io, ip);
    } else if (options.at("vmlist").asBool()) {
        add_server<standin::vm_list_service>(started, io, ip);
    } else {
        start_proxy(started, io, ip);
    }
    return started;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = docopt::docopt(usage, {argv + 1, argv + argc});
    context io{1};
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    const auto started = start(io, options);
    standin::write_port_file(options.at("--port-file").asString(), started.addresses);
    io.run();
    std::_Exit(0);
}
