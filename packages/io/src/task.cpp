#include "citronwick/io/task.hpp"

namespace citronwick {

namespace {

/// Set once at startup, before other threads are started.
std::string outbound_address; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

} // namespace

io_result<endpoint> open_listener(asio::ip::tcp::acceptor& acceptor, const endpoint& listen,
                                  const char* step) {
    boost::system::error_code error;
    const auto address = to_tcp(listen);
    acceptor.open(address.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    }
    if (!error) {
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return failure{step, to_text(listen), error.message()};
    }
    return to_endpoint(acceptor.local_endpoint());
}

bool is_address_in_use(const failure& error) {
    return error.detail == boost::system::error_code{asio::error::address_in_use}.message();
}

void set_outbound_address(const std::string& ip) {
    outbound_address = ip;
}

void open_outbound(asio::ip::tcp::socket& socket, const asio::ip::tcp::endpoint& peer) {
    if (outbound_address.empty()) {
        return;
    }
    boost::system::error_code ignored;
    socket.close(ignored);
    socket.open(peer.protocol(), ignored);
    socket.bind({asio::ip::make_address(outbound_address), 0}, ignored);
}

asio::ip::tcp::endpoint to_tcp(const endpoint& value) {
    return {asio::ip::make_address(value.ip), value.port};
}

endpoint to_endpoint(const asio::ip::tcp::endpoint& value) {
    return {value.address().to_string(), value.port()};
}

} // namespace citronwick
