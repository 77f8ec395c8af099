#include "citronwick/traffic/http_server.hpp"

#include "arriving_body.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/io/accept_failures.hpp"
#include "citronwick/io/event_loop.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/io/unhandled_exceptions.hpp"
#include "citronwick/policy/buffer_budget.hpp"
#include "citronwick/policy/buffer_reservation.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/caller_connection.hpp"
#include "citronwick/traffic/connection_record.hpp"
#include "citronwick/traffic/http_framing.hpp"
#include "citronwick/traffic/process_limits.hpp"
#include "connection_refuser.hpp"
#include "input_drain.hpp"
#include "serve_or_refuse.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <set>
#include <thread>

namespace citronwick {

namespace {

namespace beast = boost::beast;

/// Maps a read error to the problem that is reported to the caller.
problem make_refusal(const boost::system::error_code& error) {
    if (error == http::error::header_limit) {
        return {431, "header-too-large", "the request header is too large"};
    }
    if (error == http::error::body_limit) {
        return {413, "body-too-large", "the request body is too large"};
    }
    if (error == http::error::buffer_overflow) {
        return {431, "header-too-large", "the trailer of the request is too large"};
    }
    if (error == beast::error::timeout) {
        return {408, "request-timeout", "the request did not arrive in time"};
    }
    if (error == boost::system::errc::not_enough_memory) {
        constexpr std::chrono::seconds retry_after{1};
        return {503, "memory-limit", "the router has no memory for the request body now", outcome::not_run,
                retry_after};
    }
    return {400, "bad-request", "the request is not well-formed HTTP: " + error.message()};
}

/// Whether to respond after a failed read: only if the caller sent something and
/// may still be connected.
bool should_respond(const boost::system::error_code& error) {
    return error != http::error::end_of_stream && error != asio::error::operation_aborted &&
           error != asio::error::connection_reset && error != asio::error::eof &&
           error != http::error::partial_message;
}

} // namespace

class http_server::state {
public:
    state(const traffic_settings& settings, request_server_factory make_server)
        : settings_{settings}, make_server_{std::move(make_server)}, shares_{shares_in_force(settings)},
          buffers_{buffer_limit(settings)}, acceptor_{accept_context_},
          refuser_{accept_context_.get_executor(), shares_.refusals, settings.caller_write_timeout,
                   shutting_down_} {}

    io_result<endpoint> open() { return open_listener(acceptor_, settings_.callers, "listen for callers"); }

    void start() {
        release_large_buffers();
        for (std::uint32_t index = 0; index < settings_.threads; ++index) {
            workers_.push_back(std::make_unique<worker>(make_server_));
        }
        spawn_restarting(accept_context_.get_executor(), "caller_listener", [this] { return accept(); });
        accept_thread_ = std::jthread{[this] { run_event_loop(accept_context_, "accept"); }};
    }

    void announce_shutdown() { shutting_down_ = true; }

    /// Returns when the listener is closed. Closing it resets the connections that wait to be
    /// accepted, so these are accepted before.
    void stop_accepting() {
        auto close = asio::use_future([this] { accept_waiting_and_close(); });
        asio::post(accept_context_, close).wait();
        refuses_requests_ = settings_.drain_limit.count() > 0 || settings_.grace.count() > 0;
    }

    void close_idle_connections() {
        for (const auto& each : workers_) {
            asio::post(each->context, [&each] {
                for (beast::tcp_stream* idle : each->idle) {
                    idle->cancel();
                }
            });
        }
    }

    void stop() {
        // The accepting thread uses the workers.
        accept_context_.stop();
        if (accept_thread_.joinable()) {
            accept_thread_.join();
        }
        for (const auto& each : workers_) {
            each->context.stop();
        }
        workers_.clear();
    }

    std::size_t open_connections() const { return connections_.load(); }
    std::size_t requests_in_flight() const { return requests_.load(); }

private:
    /// A traffic thread with its event loop.
    struct worker {
        explicit worker(const request_server_factory& make_server)
            : server{make_server(context.get_executor())},
              runner{[this] { run_event_loop(context, "traffic"); }} {}

        asio::io_context context{1};
        asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
        std::unique_ptr<request_server> server;
        std::set<beast::tcp_stream*> idle; ///< connections that wait for a request
        std::jthread runner;
    };

    task<void> accept() {
        while (acceptor_.is_open()) {
            worker& target = next_worker();
            asio::ip::tcp::socket socket{target.context};
            auto [error] = co_await acceptor_.async_accept(socket, use_tuple);
            if (error) {
                co_await accept_failures_.handle(error, clock::now());
                continue;
            }
            admit(target, std::move(socket));
        }
    }

    void accept_waiting_and_close() {
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            worker& target = next_worker();
            asio::ip::tcp::socket socket{target.context};
            acceptor_.accept(socket, error);
            if (!error) {
                admit(target, std::move(socket));
            }
        }
        acceptor_.close(error);
    }

    /// The worker that gets the next connection.
    worker& next_worker() { return *workers_[next_worker_++ % workers_.size()]; }

    /// Serves an accepted connection on a worker, or refuses it if there are too many.
    void admit(worker& target, asio::ip::tcp::socket socket) {
        if (connections_ >= shares_.callers) {
            refuser_.refuse(std::move(socket), clock::now());
            return;
        }
        ++connections_;
        // Decrements also if the coroutine is destroyed and its handler never called.
        std::unique_ptr<std::atomic<std::size_t>, decrement> counted{&connections_};
        asio::co_spawn(target.context, serve_connection(target, std::move(socket)),
                       [counted = std::move(counted)](const std::exception_ptr& exception) {
                           if (exception) {
                               record_unhandled_exception("connection", exception);
                           }
                       });
    }

    struct decrement {
        void operator()(std::atomic<std::size_t>* count) const { --*count; }
    };

    task<void> serve_connection(worker& assigned, asio::ip::tcp::socket socket) {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
        caller_connection connection{std::move(socket), shutting_down_};
        connection_record record;
        while (co_await serve_request(assigned, connection, record)) {
        }
        connection.stream().socket().shutdown(asio::socket_base::shutdown_both, ignored);
        record.log();
        assigned.server->count_connection_end(record.end());
    }

    /// Reads and serves one request.
    /// @return whether to keep the connection open for another
    task<bool> serve_request(worker& assigned, caller_connection& connection, connection_record& record) {
        beast::tcp_stream& stream = connection.stream();
        beast::flat_buffer& buffer = connection.input();
        const request_limits limits = assigned.server->limits();
        if (buffer.size() == 0) {
            const auto idle_error = co_await wait_for_request(assigned, connection, limits);
            if (idle_error) {
                record.end_while_idle(idle_error);
                co_return false;
            }
        }
        buffer_reservation buffers{buffers_};
        http::request_parser<arriving_body> parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        auto read_error = co_await read_header(stream, buffer, parser, limits);
        const auto arrived = clock::now();
        std::optional<problem> refusal;
        if (!read_error) {
            const in_flight_counter in_flight{requests_};
            if (const auto error = find_framing_error(parser.get())) {
                refusal = problem{400, "bad-request", std::string{*error}};
            } else {
                read_error = co_await read_body(stream, buffer, parser, limits, buffers);
            }
            if (!refusal && !read_error) {
                auto received = parser.release();
                http_request request{std::move(received.base()), std::move(received.body())};
                const bool keep_open = co_await dispatch(*assigned.server, connection, std::move(request),
                                                         buffers, arrived, record);
                co_return keep_open;
            }
        }
        if (!refusal && should_respond(read_error)) {
            refusal = make_refusal(read_error);
        }
        if (!refusal) {
            record.end_within_request(read_error);
        } else {
            record.end_with_refusal(refusal->detail);
            log_info("request_unreadable",
                     {{"status", std::to_string(refusal->status)}, {"detail", refusal->detail}});
            caller from{connection, random_id(), false, settings_.caller_write_timeout, arrived};
            co_await from.refuse(std::move(*refusal));
            co_await drain_input(stream);
        }
        co_return false;
    }

    /// Waits for the first bytes of the next request. During a shutdown the wait is short: the
    /// caller may have been told earlier that the connection stays open.
    task<boost::system::error_code> wait_for_request(worker& assigned, caller_connection& connection,
                                                     const request_limits& limits) {
        beast::tcp_stream& stream = connection.stream();
        beast::flat_buffer& buffer = connection.input();
        if (shutting_down_) {
            constexpr std::chrono::milliseconds max_wait{500};
            auto error =
                co_await read_more(stream, buffer, clock::now() + std::min(limits.idle_timeout, max_wait));
            co_return error == beast::error::timeout ? asio::error::operation_aborted : error;
        }
        assigned.idle.insert(&stream);
        auto error = co_await read_more(stream, buffer, clock::now() + limits.idle_timeout);
        assigned.idle.erase(&stream);
        if (error == asio::error::operation_aborted && shutting_down_) {
            const auto read_error = connection.receive_input();
            co_return read_error ? error : read_error;
        }
        co_return error;
    }

    task<boost::system::error_code> read_header(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                http::request_parser<arriving_body>& parser,
                                                const request_limits& limits) {
        constexpr std::string_view header_end = "\r\n\r\n";
        const auto deadline = clock::now() + limits.read_timeout;
        while (view_of(buffer).find(header_end) == std::string_view::npos) {
            if (buffer.size() > limits.header_bytes) {
                co_return http::make_error_code(http::error::header_limit);
            }
            auto error = co_await read_more(stream, buffer, deadline);
            if (error) {
                co_return error;
            }
        }
        const auto received = view_of(buffer);
        const auto header = received.substr(0, received.find(header_end) + header_end.size());
        if (const auto error = find_header_error(header)) {
            co_return http::make_error_code(http::error::bad_field);
        }
        if (has_overlong_line(header)) {
            co_return http::make_error_code(http::error::header_limit);
        }
        auto [error, size] = co_await http::async_read_header(stream, buffer, parser, use_tuple);
        co_return error;
    }

    static std::string_view view_of(const beast::flat_buffer& buffer) {
        return {static_cast<const char*>(buffer.data().data()), buffer.size()};
    }

    static task<boost::system::error_code> read_more(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                                     time_point deadline) {
        constexpr std::size_t read_bytes = 4'096;
        stream.expires_at(deadline);
        const auto space = buffer.prepare(read_bytes);
        auto [error, size] = co_await stream.async_read_some(space, use_tuple);
        buffer.commit(size);
        co_return error;
    }

    task<boost::system::error_code> read_body(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                              http::request_parser<arriving_body>& parser,
                                              const request_limits& limits, buffer_reservation& buffers) {
        stream.expires_after(limits.read_timeout);
        if (parser.get()[http::field::expect] == "100-continue") {
            http::response<http::string_body> continue_response{http::status::continue_, 11};
            auto [write_error, written] = co_await http::async_write(stream, continue_response, use_tuple);
            if (write_error) {
                co_return write_error;
            }
        }
        parser.eager(true);
        const std::size_t unlimited = buffer.max_size();
        buffer.max_size(max_read_buffer_bytes);
        boost::system::error_code read_error;
        while (!read_error && !parser.is_done()) {
            auto [error, size] = co_await http::async_read_some(stream, buffer, parser, use_tuple);
            read_error = error;
            if (!error && !buffers.resize(buffer_part::request, parser.get().body().capacity())) {
                read_error = make_error_code(boost::system::errc::not_enough_memory);
            }
        }
        buffer.max_size(unlimited);
        if (read_error) {
            // A refused caller may stay connected for a while. Assignment of an empty string frees nothing.
            std::string{}.swap(parser.get().body());
            buffers.resize(buffer_part::request, 0);
        }
        co_return read_error;
    }

    task<bool> dispatch(request_server& server, caller_connection& connection, http_request request,
                        buffer_reservation& buffers, time_point arrived, connection_record& record) {
        const bool keep_alive = request.keep_alive();
        caller from{connection, random_id(), keep_alive, settings_.caller_write_timeout, arrived};
        if (request.method() == http::verb::head) {
            from.leave_out_body();
        }
        std::exception_ptr exception;
        if (refuses_requests_) {
            co_await refuse_while_stopping(from);
        } else {
            exception = co_await serve_or_refuse(server, from, std::move(request), buffers);
        }
        record.count_request();
        const bool keep_open = from.keep_alive() && from.response_complete();
        if (!keep_open) {
            record.end_after(from, exception);
        }
        co_return keep_open;
    }

    static task<void> refuse_while_stopping(caller& from) {
        constexpr std::chrono::milliseconds retry_after{100};
        from.close_after_response();
        problem refusal{503, "router-stopping", "the router may stop before the request has ended",
                        outcome::not_run, retry_after};
        log_info("request_refused", {{"request", from.request_id()}, {"type", std::string{refusal.type}}});
        co_await from.refuse(std::move(refusal));
    }

    /// Counts a request as in flight during its lifetime.
    class in_flight_counter {
    public:
        explicit in_flight_counter(std::atomic<std::size_t>& count) : count_{count} { ++count_; }
        in_flight_counter(const in_flight_counter&) = delete;
        in_flight_counter& operator=(const in_flight_counter&) = delete;
        ~in_flight_counter() { --count_; }

    private:
        std::atomic<std::size_t>& count_;
    };

    const traffic_settings& settings_;
    request_server_factory make_server_;
    descriptor_shares shares_;
    buffer_budget buffers_;
    asio::io_context accept_context_{1};
    asio::ip::tcp::acceptor acceptor_;
    accept_failures accept_failures_{"callers"};
    connection_refuser refuser_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::size_t next_worker_ = 0; ///< used by the accepting thread only
    std::atomic<std::size_t> connections_{0};
    std::atomic<std::size_t> requests_{0};
    std::atomic<bool> shutting_down_{false};
    std::atomic<bool> refuses_requests_{false}; ///< new ones, which the drain limit could cut
    std::jthread accept_thread_;
};

http_server::http_server(const traffic_settings& settings, request_server_factory make_server)
    : state_{std::make_unique<state>(settings, std::move(make_server))} {}

http_server::~http_server() {
    stop();
}

io_result<endpoint> http_server::open() {
    return state_->open();
}

void http_server::start() {
    state_->start();
}

void http_server::announce_shutdown() {
    state_->announce_shutdown();
}

void http_server::stop_accepting() {
    state_->stop_accepting();
}

std::size_t http_server::open_connections() const {
    return state_->open_connections();
}

std::size_t http_server::requests_in_flight() const {
    return state_->requests_in_flight();
}

void http_server::close_idle_connections() {
    state_->close_idle_connections();
}

void http_server::stop() {
    state_->stop();
}

} // namespace citronwick
