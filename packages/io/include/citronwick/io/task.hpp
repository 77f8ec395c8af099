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

/// Coroutine that yields a `T`.
template <class T>
using task = asio::awaitable<T>;

/// Completion token: the operation yields a tuple that starts with its error code.
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/// TCP address of an endpoint.
asio::ip::tcp::endpoint to_tcp(const endpoint& value);

/// Endpoint of a TCP address.
endpoint to_endpoint(const asio::ip::tcp::endpoint& value);

/// Binds an acceptor and listens; it stays closed on failure.
/// @param step named in the failure
/// @return the bound endpoint
io_result<endpoint> open_listener(asio::ip::tcp::acceptor& acceptor, const endpoint& listen,
                                  const char* step);

/// Sets the local address of all outbound TCP connections of this process; to
/// be called before the first one. Without it the system chooses.
void set_outbound_address(const std::string& ip);

/// Opens a socket to connect to a peer from the outbound address.
void open_outbound(asio::ip::tcp::socket& socket, const asio::ip::tcp::endpoint& peer);

} // namespace citronwick

#endif
