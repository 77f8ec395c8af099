// Whose response an exchange believes, against an upstream that sends copies of earlier responses.

#include "upstream_exchange.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/traffic/connection_pool.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

class test_dialect final : public request_dialect {
public:
    request_traits read_request(const http::fields& /*fields*/) const override { return {}; }
    io_result<void> prepare_forward(http::fields& /*fields*/,
                                    const forward_metadata& /*metadata*/) const override {
        return {};
    }
    void prepare_response(http::fields& /*fields*/) const override {}
    response_traits read_response(const http::fields& fields) const override {
        return {.attempt_id = std::string{fields["Request"]},
                .is_signed = fields.count("Signature") > 0,
                .is_not_run = fields.count("Not-Run") > 0};
    }
};

/// A form of response.
struct response_form {
    std::string_view status;
    std::string_view fields; ///< besides the identifier, if it has one
    bool has_id = true;
    bool has_run = true;
};

constexpr std::array forms{
    response_form{"200 OK", "Signature: 1\r\n"},
    response_form{"500 Internal Server Error", "Signature: 1\r\n"},
    response_form{"503 Service Unavailable", "Not-Run: 1\r\n", true, false},
    response_form{"421 Misdirected Request", "", true, false},
    response_form{"421 Misdirected Request", "", false, false},
    response_form{"503 Service Unavailable", "Not-Run: 1\r\n", false, false},
};

/// What the upstream does with one request.
struct upstream_step {
    std::size_t form = 0;                   ///< of its response
    std::vector<std::size_t> copies_before; ///< of earlier responses of the connection, the latest is 0
    bool copies_after = false;              ///< sends the response twice

    bool ends_request() const { return form == 0; }
};

/// An upstream that numbers its responses and sends copies of them.
class copying_upstream {
public:
    explicit copying_upstream(asio::io_context& context)
        : acceptor_{context, {asio::ip::address_v4::loopback(), 0}} {
        asio::co_spawn(context, accept(), asio::detached);
    }

    endpoint address() const { return to_endpoint(acceptor_.local_endpoint()); }
    void set_next(upstream_step step) { next_ = std::move(step); }
    /// Number of the last response, without copies.
    int last_number() const { return number_; }
    bool has_sent_copies_before() const { return has_sent_copies_before_; }

private:
    using socket = asio::ip::tcp::socket;

    task<void> accept() {
        while (true) {
            auto connection = std::make_shared<socket>(co_await acceptor_.async_accept(asio::use_awaitable));
            connection->set_option(asio::ip::tcp::no_delay{true});
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(connection)), asio::detached);
        }
    }

    std::string respond(const std::string& request) {
        constexpr std::string_view field = "\r\nRequest: ";
        const auto begin = request.find(field) + field.size();
        const std::string id = request.substr(begin, request.find("\r\n", begin) - begin);
        const response_form& form = forms.at(next_.form);
        return "HTTP/1.1 " + std::string{form.status} + "\r\n" + std::string{form.fields} +
               (form.has_id ? "Request: " + id + "\r\n" : "") + "Number: " + std::to_string(++number_) +
               "\r\nContent-Length: 0\r\n\r\n";
    }

    task<void> serve(std::shared_ptr<socket> connection) {
        std::vector<std::string> sent;
        std::string request;
        while (true) {
            request.clear();
            const auto buffer = asio::dynamic_buffer(request);
            co_await asio::async_read_until(*connection, buffer, "\r\n\r\n", asio::use_awaitable);
            std::string bytes;
            for (const std::size_t back : next_.copies_before) {
                bytes += back < sent.size() ? sent[sent.size() - 1 - back] : "";
            }
            has_sent_copies_before_ = !bytes.empty();
            sent.push_back(respond(request));
            bytes += sent.back() + (next_.copies_after ? sent.back() : "");
            const auto output = asio::buffer(bytes);
            co_await asio::async_write(*connection, output, asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    upstream_step next_;
    int number_ = 0;
    bool has_sent_copies_before_ = false;
};

/// What the exchange of one request came to.
struct exchange_record {
    attempt_outcome outcome = attempt_outcome::not_sent;
    std::string number; ///< of the response that it believed
    std::unique_ptr<upstream_connection> connection;
};

task<void> exchange(connection_pool& pool, endpoint peer, std::string id, exchange_record& record) {
    const test_dialect dialect;
    const auto request = hash64(id);
    auto connection = pool.acquire(peer, request, clock::now());
    const auto connected = co_await connection->connect(1s);
    if (connected.has_error()) {
        co_return;
    }
    upstream_exchange sent{*connection, dialect, id, request};
    http::request_header<> header;
    header.method(http::verb::post);
    header.target("/");
    header.set("Request", id);
    auto body = std::make_shared<const std::string>();
    const auto result = co_await sent.run(std::move(header), std::move(body), 1'000, clock::now() + 1s);
    record.outcome = result.outcome;
    if (connection->is_open()) {
        record.number = connection->header()["Number"];
        const auto rest = co_await connection->read_all(1s);
    }
    if (!sent.reusable()) {
        connection->close();
    }
    record.connection = std::move(connection);
}

/// Draws evenly also in the first tests, for which rapidcheck draws small numbers otherwise.
std::size_t draw_below(std::size_t limit) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, limit));
}

upstream_step draw_step() {
    upstream_step step{.form = draw_below(forms.size()), .copies_after = draw_below(8) == 0};
    step.copies_before.resize(draw_below(4));
    std::ranges::generate(step.copies_before, [] { return draw_below(4); });
    return step;
}

/// Sends drawn requests over the connections of a pool, some of them again after a refusal or failure.
class drawn_exchanges {
public:
    void run_one() {
        const bool is_repeated = !unfinished_.empty() && *rc::gen::arbitrary<bool>();
        const std::string id =
            is_repeated ? *rc::gen::elementOf(unfinished_) : "request-" + std::to_string(++requests_);
        const upstream_step step = draw_step();
        upstream_.set_next(step);
        exchange_record record;
        context_.restart();
        bool has_ended = false;
        asio::co_spawn(context_, exchange(pool_, upstream_.address(), id, record),
                       [&has_ended](const std::exception_ptr&) { has_ended = true; });
        while (!has_ended) {
            context_.run_one();
        }
        check(step, record);
        std::erase(unfinished_, id);
        if (!step.ends_request()) {
            unfinished_.push_back(id);
        }
        keep_or_release(std::move(record.connection));
    }

private:
    void check(const upstream_step& step, const exchange_record& record) const {
        const bool is_believed = record.outcome == attempt_outcome::not_run ||
                                 record.outcome == attempt_outcome::answered ||
                                 record.outcome == attempt_outcome::failed_run;
        RC_ASSERT(is_believed || upstream_.has_sent_copies_before());
        if (is_believed) {
            RC_ASSERT(record.number == std::to_string(upstream_.last_number()));
            RC_ASSERT((record.outcome == attempt_outcome::not_run) == !forms.at(step.form).has_run);
        }
    }

    /// Holds some connections back, so that the pool gets several.
    void keep_or_release(std::unique_ptr<upstream_connection> connection) {
        held_.push_back(std::move(connection));
        const auto kept = draw_below(3);
        while (held_.size() > kept) {
            pool_.release(std::move(held_.front()), clock::now(), duration::max());
            held_.erase(held_.begin());
        }
    }

    asio::io_context context_{1};
    copying_upstream upstream_{context_};
    connection_pool pool_{context_.get_executor(), 60s};
    std::vector<std::unique_ptr<upstream_connection>> held_;
    std::vector<std::string> unfinished_; ///< identifiers of requests that may be sent again
    int requests_ = 0;
};

} // namespace

TEST_CASE("property: a copy of an earlier response is never taken for the response to a request") {
    constexpr int exchanges = 30;
    CHECK(rc::check([] {
        drawn_exchanges drawn;
        for (int index = 0; index < exchanges; ++index) {
            drawn.run_one();
        }
    }));
}
