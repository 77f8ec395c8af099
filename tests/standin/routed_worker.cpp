#include "routed_worker.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/json_text.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <limits>

namespace citronwick::standin {

namespace {

namespace json = boost::json;
using boost::beast::tcp_stream;
using namespace std::chrono_literals;

constexpr const char* attempt_header = "Citronwick-Attempt-Id";
constexpr unsigned ok = 200;

stream_faults read_stream_faults(const json::object& settings) {
    const std::chrono::milliseconds gap{integer_member(settings, "event_gap_ms")};
    return {.event_gap = gap > 0ms ? gap : stream_faults::default_event_gap,
            .cut_after_events = integer_member(settings, "cut_after"),
            .close_after_events = integer_member(settings, "close_after"),
            .omitted_events = integer_member(settings, "omit"),
            .omits_if_known = integer_member(settings, "omit_if_known") != 0,
            .begins_anew = integer_member(settings, "begin_anew") != 0,
            .is_unframed = string_member(settings, "framing") == "none",
            .event_bytes = static_cast<std::size_t>(integer_member(settings, "event_bytes")),
            .segment_bytes = static_cast<std::size_t>(integer_member(settings, "segment_bytes")),
            .event_format = string_member(settings, "event_format"),
            .answers_early = integer_member(settings, "early") != 0,
            .resets = integer_member(settings, "reset") != 0,
            .numbering = string_member(settings, "numbering"),
            .weights = integer_member(settings, "weights"),
            .newer_weights_at = integer_member(settings, "newer_weights_at"),
            .ignores_expected_weights = integer_member(settings, "ignore_expected_weights") != 0,
            .only_path = string_member(settings, "only_path")};
}

std::shared_ptr<slot_queue> read_slots(const json::object& settings) {
    const auto count = [&settings](const char* name) {
        return static_cast<std::size_t>(integer_member(settings, name));
    };
    if (count("slots") == 0) {
        return nullptr;
    }
    const std::string brittle = string_member(settings, "brittle");
    const slot_queue::settings set{
        .slots = count("slots"),
        .room = count("room"),
        .later_room = count("later_room"),
        .shrinks_after = std::chrono::milliseconds{integer_member(settings, "shrinks_after_ms")},
        .allowed_refusals = brittle.empty() ? std::numeric_limits<std::size_t>::max() : std::stoul(brittle)};
    return std::make_shared<slot_queue>(set, clock::now());
}

} // namespace

void reset_on_close(tcp_stream& stream, bool resets) {
    boost::system::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger{resets, 0}, ignored);
}

routed_worker::routed_worker(asio::io_context& context, const std::string& ip, std::string id,
                             std::uint16_t port, std::int64_t born, std::string version)
    : id_{std::move(id)}, version_{std::move(version)}, born_{born},
      server_{context, ip, port,
              [this](tcp_stream& stream, http_request request) { return handle(stream, std::move(request)); },
              [this](const http::request_header<>& header) { return answers_early(header); }} {}

bool routed_worker::answers_early(const http::request_header<>& header) const {
    return stream_faults_.answers_early && header.target().find("/stream/") != std::string_view::npos &&
           header.target().find(stream_faults_.only_path) != std::string_view::npos;
}

task<bool> routed_worker::handle(tcp_stream& stream, http_request request) {
    const std::string_view target = request.target();
    if (target == "/standin/fault") {
        const auto fault_settings = parse_json_object(request.body()).value_or(json::object{});
        fault_mode_ = string_member(fault_settings, "mode");
        const auto times = integer_member(fault_settings, "times");
        remaining_faults_ = times == 0 ? std::numeric_limits<std::int64_t>::max() : times;
        failure_status_ = static_cast<unsigned>(integer_member(fault_settings, "status"));
        delay_ = std::chrono::milliseconds{integer_member(fault_settings, "delay_ms")};
        born_ = fault_settings.contains("born") ? integer_member(fault_settings, "born") : born_;
        stream_faults_ = read_stream_faults(fault_settings);
        refusals_.clear();
        surplus_.clear();
        crashing_part_ = string_member(fault_settings, "crash_on_part");
        limit_ = string_member(fault_settings, "limit");
        brittle_ = string_member(fault_settings, "brittle");
        slots_ = read_slots(fault_settings);
        retry_after_ = string_member(fault_settings, "retry_after");
        says_leaving_ = !string_member(fault_settings, "leaving").empty();
        co_return co_await send_response(stream, http::status::ok, "{}");
    }
    if (target == "/standin/runs") {
        json::object status{{"runs", runs_}, {"unfinished", aborted_runs_}, {"arrivals", arrivals_}};
        co_return co_await send_json(stream, std::move(status));
    }
    if (target == "/v1/report") {
        json::object report{{"seq", 1}};
        if (born_ > 0) {
            report["born"] = born_;
        }
        co_return co_await send_json(stream, std::move(report));
    }
    arrivals_.emplace_back(clock::now().time_since_epoch() / 1ms);
    if (request["Citronwick-Expect-Instance"] != id_) {
        http_response refusal{http::status::misdirected_request, 11};
        refusal.set("Citronwick-Instance-Id", id_);
        refusal.prepare_payload();
        auto [error, size] = co_await http::async_write(stream, refusal, use_tuple);
        co_return !error;
    }
    if (expects_other_weights(request)) {
        http_response refusal{make_header(request)};
        refusal.erase("Citronwick-Server-Stamp");
        refusal.result(http::status::misdirected_request);
        refusal.set("Citronwick-Not-Run", "1");
        refusal.prepare_payload();
        auto [error, size] = co_await http::async_write(stream, refusal, use_tuple);
        co_return !error;
    }
    if (slots_) {
        co_return co_await run_in_slot(stream, std::move(request), slots_);
    }
    co_return co_await run(stream, std::move(request));
}

bool routed_worker::expects_other_weights(const http_request& request) const {
    const auto expected = request["Citronwick-Expect-Version"];
    return !expected.empty() && stream_faults_.weights > 0 && !stream_faults_.ignores_expected_weights &&
           expected != std::to_string(stream_faults_.weights);
}

/// Runs a request as soon as a slot is free, or refuses it for want of room.
task<bool> routed_worker::run_in_slot(tcp_stream& stream, http_request request,
                                      std::shared_ptr<slot_queue> queue) {
    const bool is_admitted = co_await queue->acquire();
    if (!is_admitted) {
        if (queue->record_refusal(clock::now())) {
            std::cout << "event=fell_over" << std::endl;
            std::_Exit(EXIT_FAILURE);
        }
        http_response refusal{make_header(request)};
        refusal.erase("Citronwick-Server-Stamp");
        refusal.result(http::status::service_unavailable);
        refusal.set("Citronwick-Not-Run", "1");
        refusal.prepare_payload();
        auto [error, size] = co_await http::async_write(stream, refusal, use_tuple);
        co_return !error;
    }
    bool may_go_on = false;
    if (!is_closed(stream)) {
        may_go_on = co_await run(stream, std::move(request));
    }
    queue->release();
    co_return may_go_on;
}

void routed_worker::record_run(const http_request& request) {
    const std::string attempt{request[attempt_header]};
    const auto* const previous = runs_.if_contains(attempt);
    const std::int64_t count = previous == nullptr ? 1 : integer_member(previous->as_object(), "count") + 1;
    std::cout << "event=request_run request=" << attempt << std::endl; // lasts if the process is killed
    json::array fields;
    for (const auto& field : request) {
        fields.emplace_back(std::string{field.name_string()} + ": " + std::string{field.value()});
    }
    runs_[attempt] = json::object{{"count", count},
                                  {"method", std::string{request.method_string()}},
                                  {"target", std::string{request.target()}},
                                  {"body", request.body()},
                                  {"fields", std::move(fields)}};
}

http::response_header<> routed_worker::make_header(const http_request& request) const {
    http::response_header<> header;
    header.version(11);
    header.result(http::status::ok);
    header.set(attempt_header, request[attempt_header]);
    header.set("Citronwick-Server-Stamp", "stamp." + id_);
    header.set("Citronwick-Server-Load", slots_ ? slots_->load_text() : "1,0,8");
    if (!limit_.empty()) {
        header.set("Server-Limit", limit_);
    }
    if (!brittle_.empty()) {
        header.set("Server-Brittle", brittle_);
    }
    if (stream_faults_.weights > 0) {
        header.set("Citronwick-Weight-Versions", std::to_string(stream_faults_.weights));
    }
    if (says_leaving_) {
        header.set("Server-Leaving", "1");
    }
    return header;
}

task<bool> routed_worker::send(tcp_stream& stream, const http_request& request, unsigned status,
                               std::string body) {
    http_response response{make_header(request)};
    response.result(status);
    response.body() = std::move(body);
    response.prepare_payload();
    auto [error, size] = co_await http::async_write(stream, response, use_tuple);
    co_return !error;
}

/// Refuses a request, in one of two forms, and keeps the refusal to copy it.
task<bool> routed_worker::refuse_and_keep(tcp_stream& stream, const http_request& request) {
    http_response refusal{http::status::misdirected_request, 11};
    if (requests_with_copies_ % 2 == 0) {
        refusal.result(http::status::service_unavailable);
        refusal.set(attempt_header, request[attempt_header]);
        refusal.set("Citronwick-Not-Run", "1");
    }
    refusal.prepare_payload();
    boost::system::error_code ignored;
    refusals_[stream.socket().remote_endpoint(ignored).port()] = refusal;
    auto [error, size] = co_await http::async_write(stream, refusal, use_tuple);
    co_return !error;
}

/// Sends a copy of the last refusal of this connection, if there is one.
task<bool> routed_worker::send_copies(tcp_stream& stream) {
    boost::system::error_code ignored;
    const auto found = refusals_.find(stream.socket().remote_endpoint(ignored).port());
    if (found == refusals_.end()) {
        co_return true;
    }
    http_response copy = found->second;
    auto [error, size] = co_await http::async_write(stream, copy, use_tuple);
    co_return !error;
}

void routed_worker::keep_for_surplus(tcp_stream& stream, http_request request) {
    boost::system::error_code ignored;
    surplus_[stream.socket().remote_endpoint(ignored).port()] = std::move(request);
}

/// Sends a second response to the last request of this connection, if there was one.
task<bool> routed_worker::send_late_surplus(tcp_stream& stream) {
    boost::system::error_code ignored;
    const auto found = surplus_.find(stream.socket().remote_endpoint(ignored).port());
    if (found == surplus_.end()) {
        co_return true;
    }
    const http_request request = std::move(found->second);
    surplus_.erase(found);
    if (request.target().find("/stream/") != std::string_view::npos) {
        co_return co_await run_stream(stream, request);
    }
    co_return co_await send(stream, request, ok, "a second answer");
}

task<bool> routed_worker::run(tcp_stream& stream, http_request request) {
    std::string fault = fault_mode_;
    if (!fault.empty() && --remaining_faults_ < 0) {
        fault.clear();
    }
    if (fault == "shed") {
        http_response refusal{http::status::service_unavailable, 11};
        refusal.set(attempt_header, request[attempt_header]);
        refusal.set("Citronwick-Not-Run", "1");
        if (!retry_after_.empty()) {
            refusal.set("Retry-After", retry_after_);
        }
        refusal.prepare_payload();
        auto [error, size] = co_await http::async_write(stream, refusal, use_tuple);
        co_return !error;
    }
    if (fault == "copy_refusals") {
        constexpr std::int64_t requests_a_refusal = 3;
        const bool sent = co_await send_copies(stream);
        if (!sent) {
            co_return false;
        }
        if (++requests_with_copies_ % requests_a_refusal == 0) {
            co_return co_await refuse_and_keep(stream, request);
        }
    }
    const bool copies_answers = fault == "surplus" || fault == "late_surplus";
    if (copies_answers) {
        const bool sent = co_await send_late_surplus(stream);
        if (!sent) {
            co_return false;
        }
    }
    record_run(request);
    co_await sleep_for(delay_);
    if (is_closed(stream)) {
        ++aborted_runs_;
        co_return false;
    }
    if (fault == "lose_answer") {
        reset_on_close(stream, stream_faults_.resets);
        co_return false;
    }
    if (fault == "silent") {
        co_await sleep_for(1h);
    }
    if (fault == "status") {
        co_return co_await send(stream, request, failure_status_, "failed");
    }
    if (fault == "unmarked_503") {
        co_return co_await send(stream, request, 503, "busy");
    }
    if (fault == "error") {
        co_return co_await send(stream, request, 500, "failed");
    }
    if (fault == "truncate") {
        const std::string partial =
            "HTTP/1.1 200 OK\r\nCitronwick-Server-Stamp: x\r\nCitronwick-Attempt-Id: " +
            std::string{request[attempt_header]} + "\r\nContent-Length: 100\r\n\r\nhalf";
        co_await asio::async_write(stream, asio::buffer(partial), use_tuple);
        co_return false;
    }
    if (fault == "garbage") {
        const std::string garbage = "this is no answer\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(garbage), use_tuple);
        co_return false;
    }
    if (fault == "long_trailer") {
        const std::string response =
            "HTTP/1.1 200 OK\r\nCitronwick-Server-Stamp: x\r\nCitronwick-Attempt-Id: " +
            std::string{request[attempt_header]} +
            "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Long: " + std::string(70'000, 'x') +
            "\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(response), use_tuple);
        co_return false;
    }
    if (fault.starts_with("endless")) {
        co_return co_await send_endless(stream, request, fault);
    }
    if (fault.starts_with("unframed")) {
        co_return co_await send_unframed(stream, request, fault);
    }
    if (request.target().find("/stream/") != std::string_view::npos) {
        const bool is_whole = co_await run_stream(stream, request);
        if (!is_whole || !copies_answers) {
            co_return is_whole;
        }
        if (fault == "late_surplus") {
            keep_for_surplus(stream, std::move(request));
            co_return true;
        }
        co_return co_await run_stream(stream, request);
    }
    const bool sent = co_await send(stream, request, ok, "done by " + id_);
    if (sent && (fault == "extra" || fault == "surplus")) {
        co_return co_await send(stream, request, ok, "a second answer");
    }
    if (sent && fault == "late_surplus") {
        keep_for_surplus(stream, std::move(request));
    }
    co_return sent;
}

/// Sends bytes until the caller closes, in the part of a response that the fault names.
task<bool> routed_worker::send_endless(tcp_stream& stream, const http_request& request,
                                       const std::string& fault) {
    const std::string stamp = "HTTP/1.1 200 OK\r\nCitronwick-Server-Stamp: x\r\nCitronwick-Attempt-Id: " +
                              std::string{request[attempt_header]} + "\r\n";
    std::string start = stamp + "Content-Type: text/event-stream\r\n\r\n";
    if (fault == "endless_bytes") {
        start.clear();
    } else if (fault == "endless_head") {
        start = stamp + "X-Padding: ";
    }
    const std::string padding(fault == "endless_drip" ? 1 : 65'536, 'x');
    auto [error, size] = co_await asio::async_write(stream, asio::buffer(start), use_tuple);
    while (!error) {
        if (fault == "endless_drip") {
            co_await sleep_for(1ms);
        }
        auto [write_error, written] = co_await asio::async_write(stream, asio::buffer(padding), use_tuple);
        error = write_error;
    }
    ++aborted_runs_;
    co_return false;
}

/// Sends a response that has neither a length nor chunks and ends with its connection.
task<bool> routed_worker::send_unframed(tcp_stream& stream, const http_request& request,
                                        const std::string& fault) {
    std::string body = "done by " + id_;
    if (request.target().find("/stream/") != std::string_view::npos) {
        body = "";
        for (std::int64_t id = 1; id <= event_count_; ++id) {
            body += format_event(id, stream_faults_);
        }
        body.resize(fault == "unframed_cut" ? body.size() - 1 : body.size());
    }
    const std::string first_half = "HTTP/1.1 200 OK\r\nCitronwick-Server-Stamp: stamp." + id_ +
                                   "\r\nCitronwick-Attempt-Id: " + std::string{request[attempt_header]} +
                                   "\r\n\r\n" + body.substr(0, body.size() / 2);
    co_await asio::async_write(stream, asio::buffer(first_half), use_tuple);
    if (fault == "unframed_pause") {
        co_await sleep_for(stream_faults_.event_gap);
    }
    const std::string second_half = body.substr(body.size() / 2);
    co_await asio::async_write(stream, asio::buffer(second_half), use_tuple);
    co_return false;
}

} // namespace citronwick::standin
