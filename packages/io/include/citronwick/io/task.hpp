#ifndef CITRONWICK_IO_TASK_HPP_INCLUDED
#define CITRONWICK_IO_TASK_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

namespace citronwick {

namespace asio = boost::asio;

/// Coroutine that returns a `T`.
template <class T>
using task = asio::awaitable<T>;

/// Completion token: `co_await` returns the error code and results as a tuple and does not throw.
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// Converts an endpoint to Asio's TCP endpoint.
asio::ip::tcp::endpoint to_tcp(const endpoint& value);

/// Converts Asio's TCP endpoint to an endpoint.
endpoint to_endpoint(const asio::ip::tcp::endpoint& value);

/// Binds an acceptor and listens. The acceptor is closed on failure.
/// @param step name of the step in the failure
/// @return the bound endpoint
io_result<endpoint> open_listener(asio::ip::tcp::acceptor& acceptor, const endpoint& listen,
                                  const char* step);

/// Whether a listener could not be opened because another socket has its address.
bool is_address_in_use(const failure& error);

/// Sets the local address of all outbound TCP connections of this process. Must be
/// called before the first one is opened. By default the operating system chooses.
void set_outbound_address(const std::string& ip);

/// Opens a socket for `peer` and binds it to the outbound address. Does nothing if none is set.
void open_outbound(asio::ip::tcp::socket& socket, const asio::ip::tcp::endpoint& peer);

} // namespace citronwick

#endif
