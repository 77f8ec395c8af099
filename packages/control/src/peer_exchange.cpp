#include "citronwick/control/peer_exchange.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/io/accept_failures.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/buffers.hpp>

namespace citronwick {

namespace {

using boost::beast::tcp_stream;
using namespace std::chrono_literals;

constexpr std::chrono::seconds exchange_timeout{3};
constexpr std::uint32_t max_frame_bytes = std::uint32_t{16} << 20U;
constexpr std::size_t chunks_per_request = 32;
constexpr std::size_t connection_overhead_bytes = 240; ///< handshake, teardown and acknowledgements

using frame_length = boost::endian::big_uint32_buf_t;

task<io_result<void>> write_frame(tcp_stream& stream, std::string sealed, const std::string& peer) {
    const frame_length length{static_cast<std::uint32_t>(sealed.size())};
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(&length, sizeof(length)),
                                                    asio::buffer(sealed)};
    stream.expires_after(exchange_timeout);
    auto [error, written] = co_await asio::async_write(stream, buffers, use_tuple);
    if (error) {
        co_return failure{"send to peer", peer, error.message()};
    }
    co_return io_result<void>{};
}

task<io_result<std::string>> read_frame(tcp_stream& stream, const std::string& peer) {
    frame_length length{};
    const auto length_buffer = asio::buffer(&length, sizeof(length));
    stream.expires_after(exchange_timeout);
    auto [length_error, length_size] = co_await asio::async_read(stream, length_buffer, use_tuple);
    if (length_error || length.value() > max_frame_bytes) {
        co_return failure{"read from peer", peer, length_error ? length_error.message() : "message too long"};
    }
    std::string sealed(length.value(), '\0');
    const auto body = asio::buffer(sealed);
    auto [error, size] = co_await asio::async_read(stream, body, use_tuple);
    if (error) {
        co_return failure{"read from peer", peer, error.message()};
    }
    co_return sealed;
}

} // namespace

peer_exchange::peer_exchange(asio::any_io_executor executor, const wire::envelope& envelope,
                             wire::header from, document_store& store, claim_query_handler handle_claim_query,
                             byte_counter count)
    : executor_{std::move(executor)}, acceptor_{executor_}, envelope_{envelope}, from_{from}, store_{store},
      handle_claim_query_{std::move(handle_claim_query)}, count_{std::move(count)} {}

io_result<void> peer_exchange::open(const endpoint& listen) {
    const auto bound = open_listener(acceptor_, listen, "listen for peers");
    if (bound.has_error()) {
        return bound.error();
    }
    return {};
}

task<void> peer_exchange::serve() {
    accept_failures failures{"peers"};
    while (acceptor_.is_open()) {
        asio::ip::tcp::socket socket{executor_};
        auto [error] = co_await acceptor_.async_accept(socket, use_tuple);
        if (error) {
            co_await failures.handle(error, clock::now());
            continue;
        }
        spawn_logged(executor_, "peer_connection", serve_connection(std::move(socket)));
    }
}

task<void> peer_exchange::serve_connection(asio::ip::tcp::socket socket) {
    boost::system::error_code ignored;
    const std::string peer = to_text(to_endpoint(socket.remote_endpoint(ignored)));
    tcp_stream stream{std::move(socket)};
    auto sealed = co_await read_frame(stream, peer);
    if (sealed.has_error()) {
        co_return;
    }
    auto response = handle_sealed_request(*sealed, peer);
    if (response.has_error()) {
        log_failure("peer_request_refused", response.error());
        co_return;
    }
    std::string reply = std::move(*response);
    count_(reply.size() + connection_overhead_bytes);
    auto sent = co_await write_frame(stream, std::move(reply), peer);
    if (sent.has_error()) {
        log_failure("document_not_sent", sent.error());
    }
}

/// Opens a request of either kind and returns the sealed response.
io_result<std::string> peer_exchange::handle_sealed_request(const std::string& sealed,
                                                            const std::string& peer) const {
    const auto query = io_result_of<wire::opened_message<wire::claim_query>>(
        [&] { return envelope_.open<wire::claim_query>(sealed, peer); });
    if (query.has_value()) {
        return envelope_.seal(from_, handle_claim_query_(query->message));
    }
    const auto request = io_result_of<wire::opened_message<wire::document_request>>(
        [&] { return envelope_.open<wire::document_request>(sealed, peer); });
    if (request.has_error()) {
        return request.error();
    }
    return envelope_.seal(from_, handle_document_request(request->message));
}

wire::document_response peer_exchange::handle_document_request(const wire::document_request& request) const {
    wire::document_response response{.kind = request.kind};
    if (const document* const held = store_.current(request.kind)) {
        response.generation = held->generation;
        response.header = held->header;
    }
    for (const std::string& digest : request.digests) {
        if (const std::string* const content = store_.find_chunk(digest)) {
            response.contents.push_back(*content);
        }
    }
    return response;
}

template <class Response, class Request>
task<io_result<Response>> peer_exchange::request(endpoint peer, Request request) {
    const std::string name = to_text(peer);
    const auto address = to_tcp(peer);
    tcp_stream stream{executor_};
    open_outbound(stream.socket(), address);
    stream.expires_after(exchange_timeout);
    auto [error] = co_await stream.async_connect(address, use_tuple);
    if (error) {
        co_return failure{"connect to peer", name, error.message()};
    }
    std::string sealed = envelope_.seal(from_, request);
    count_(sealed.size() + connection_overhead_bytes);
    auto sent = co_await write_frame(stream, std::move(sealed), name);
    if (sent.has_error()) {
        co_return sent.error();
    }
    auto reply = co_await read_frame(stream, name);
    if (reply.has_error()) {
        co_return reply.error();
    }
    auto opened =
        io_result_of<wire::opened_message<Response>>([&] { return envelope_.open<Response>(*reply, name); });
    if (opened.has_error()) {
        co_return opened.error();
    }
    co_return std::move(opened->message);
}

task<io_result<wire::claim_answer>> peer_exchange::query_claimant(endpoint peer, wire::claim_query query) {
    co_return co_await request<wire::claim_answer>(peer, std::move(query));
}

task<io_result<fetched_document>> peer_exchange::fetch(endpoint peer, wire::document_kind kind) {
    wire::document_request header_request{kind, {}};
    auto header = co_await request<wire::document_response>(peer, std::move(header_request));
    if (header.has_error()) {
        co_return header.error();
    }
    auto missing = store_.missing(header->header);
    while (!missing.empty()) {
        const auto count = std::min(missing.size(), chunks_per_request);
        wire::document_request chunk_request{kind,
                                             {missing.begin(), missing.begin() + static_cast<long>(count)}};
        auto chunks = co_await request<wire::document_response>(peer, std::move(chunk_request));
        if (chunks.has_error()) {
            co_return chunks.error();
        }
        for (std::string& content : chunks->contents) {
            store_.add_chunk(std::move(content));
        }
        const auto before = missing.size();
        missing = store_.missing(header->header);
        if (missing.size() == before) {
            co_return failure{"fetch document", to_text(peer), "the peer no longer holds its chunks"};
        }
    }
    co_return fetched_document{header->generation, std::move(header->header)};
}

} // namespace citronwick
