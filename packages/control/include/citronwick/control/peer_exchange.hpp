#ifndef CITRONWICK_CONTROL_PEER_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_CONTROL_PEER_EXCHANGE_HPP_INCLUDED

#include "citronwick/control/document_store.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/wire/envelope.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>

namespace citronwick {

/// Document that a peer offers; its chunks are already in the store.
struct fetched_document {
    std::uint64_t generation = 0;
    std::string header;
};

/// Questions between routers over TCP: documents, and what became of claimed
/// requests. A connection carries one sealed request and one sealed response,
/// each after its length in four bytes.
class peer_exchange {
public:
    using byte_counter = std::function<void(std::size_t)>;
    using claim_query_handler = std::function<wire::claim_answer(const wire::claim_query&)>;

    peer_exchange(asio::any_io_executor executor, const wire::envelope& envelope, wire::header from,
                  document_store& store, claim_query_handler handle_claim_query, byte_counter count);

    /// Listens on the fleet address.
    io_result<void> open(const endpoint& listen);

    /// Serves other routers until the listener is closed.
    task<void> serve();

    /// Fetches a document's header and the chunks that the store lacks.
    task<io_result<fetched_document>> fetch(endpoint peer, wire::document_kind kind);

    /// Asks a claimant what became of a request.
    task<io_result<wire::claim_answer>> query_claimant(endpoint peer, wire::claim_query query);

private:
    task<void> serve_connection(asio::ip::tcp::socket socket);
    io_result<std::string> handle_sealed_request(const std::string& sealed, const std::string& peer) const;
    wire::document_response handle_document_request(const wire::document_request& request) const;

    template <class Response, class Request>
    task<io_result<Response>> request(endpoint peer, Request request);

    asio::any_io_executor executor_;
    asio::ip::tcp::acceptor acceptor_;
    const wire::envelope& envelope_;
    wire::header from_;
    document_store& store_;
    claim_query_handler handle_claim_query_;
    byte_counter count_;
};

} // namespace citronwick

#endif
