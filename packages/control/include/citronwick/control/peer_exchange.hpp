#ifndef CITRONWICK_CONTROL_PEER_EXCHANGE_HPP_INCLUDED
#define CITRONWICK_CONTROL_PEER_EXCHANGE_HPP_INCLUDED

#include "citronwick/control/document_store.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/wire/envelope.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>

namespace citronwick {

/// Document fetched from a peer; its chunks are already in the store.
struct fetched_document {
    std::uint64_t generation = 0;
    std::string header;
};

/// Requests between routers over TCP: for documents, and for the state of claimed
/// requests. A connection carries one sealed request and one sealed response, each
/// preceded by its length as a four-byte big-endian integer.
class peer_exchange {
public:
    using byte_counter = std::function<void(std::size_t)>;
    using claim_query_handler = std::function<wire::claim_answer(const wire::claim_query&)>;

    peer_exchange(asio::any_io_executor executor, const wire::envelope& envelope, wire::header from,
                  document_store& store, claim_query_handler handle_claim_query, byte_counter count);

    /// Starts listening on the fleet address.
    io_result<void> open(const endpoint& listen);

    /// Accepts connections of other routers until the listener is closed.
    task<void> serve();

    /// Fetches a document's header, and the chunks missing from the store.
    task<io_result<fetched_document>> fetch(endpoint peer, wire::document_kind kind);

    /// Queries the claimant of a request for its state.
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
