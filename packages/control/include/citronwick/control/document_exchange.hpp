#ifndef CITRONWICK_CONTROL_DOCUMENT_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_CONTROL_DOCUMENT_EXCHANGE_HPP_INCLUDED

#include "citronwick/control/document_store.hpp"
#include "citronwick/platform/task.hpp"
#include "citronwick/wire/envelope.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>

namespace citronwick {

/// Document that a peer offers; its chunks are already in the store.
struct offered_document {
    std::uint64_t generation = 0;
    std::string header;
};

/// Passes documents between routers over TCP: one sealed request and one
/// sealed response a connection, each after its length in four bytes.
class document_exchange {
public:
    using byte_counter = std::function<void(std::size_t)>;

    document_exchange(asio::any_io_executor executor, const wire::envelope& envelope, wire::header from,
                      document_store& store, byte_counter count);

    /// Listens on the fleet address.
    io_result<void> open(const endpoint& listen);

    /// Serves other routers until the listener is closed.
    task<void> serve();

    /// Fetches a document's header and the chunks that the store lacks.
    task<io_result<offered_document>> fetch(endpoint peer, wire::document_kind kind);

private:
    task<void> serve_one(asio::ip::tcp::socket socket);
    wire::document_response answer(const wire::document_request& request) const;
    task<io_result<wire::document_response>> request(endpoint peer, wire::document_request request);

    asio::any_io_executor executor_;
    asio::ip::tcp::acceptor acceptor_;
    const wire::envelope& envelope_;
    wire::header from_;
    document_store& store_;
    byte_counter count_;
};

} // namespace citronwick

#endif
