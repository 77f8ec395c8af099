// Event streams of the stand-in worker, and what its faults do to them.

#include "routed_worker.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <numeric>

namespace citronwick::standin {

using boost::beast::tcp_stream;

namespace {

/// Identifier of an event. Those of strided streams differ by three, those of sparse ones by one or two.
std::int64_t id_of(std::int64_t number, std::string_view numbering) {
    constexpr std::int64_t stride = 3;
    if (numbering == "strided") {
        return stride * number;
    }
    return numbering == "sparse" ? number + number / stride : number;
}

/// Number of the first event whose identifier is higher.
std::int64_t number_behind(std::int64_t id, std::string_view numbering) {
    std::int64_t number = 1;
    while (id_of(number, numbering) <= id) {
        ++number;
    }
    return number;
}

} // namespace

/// Formats an event in one of the forms that text/event-stream allows.
std::string routed_worker::format_event(std::int64_t number, const stream_faults& faults) const {
    const std::string_view format = faults.event_format;
    const std::string id = std::to_string(id_of(number, faults.numbering));
    std::string data = "piece " + std::to_string(number) + (version_.empty() ? "" : " of " + version_);
    data += std::string(faults.event_bytes, 'x');
    if (faults.weights > 0) {
        const bool has_newer_weights = faults.newer_weights_at > 0 && number >= faults.newer_weights_at;
        const std::string weights = std::to_string(faults.weights + (has_newer_weights ? 1 : 0));
        const std::string change =
            number == faults.newer_weights_at ? "citronwick-weight-versions:" + weights + "\n" : "";
        return change + "id: " + id + "\ndata: " + data + " with weights " + weights + "\n\n";
    }
    if (format == "unnumbered") {
        return "data: " + data + "\n\n";
    }
    if (format == "id_behind") {
        return "id: " + id + "\ndata: " + data + "\n\nid: " + id + "\n\n";
    }
    if (format == "compact") {
        return "id:" + id + "\ndata:" + data + "\n\n";
    }
    const std::string line_end = format == "crlf" ? "\r\n" : format == "cr" ? "\r" : "\n";
    return "id: " + id + line_end + "data: " + data + line_end + line_end;
}

/// Sends the header of a stream, with or without chunks.
task<bool> routed_worker::begin_stream(tcp_stream& stream, const http_request& request, bool is_unframed) {
    http::response<http::empty_body> response{make_header(request)};
    response.set(http::field::content_type, "text/event-stream");
    response.chunked(!is_unframed);
    response.keep_alive(!is_unframed);
    http::response_serializer<http::empty_body> serializer{response};
    auto [error, size] = co_await http::async_write_header(stream, serializer, use_tuple);
    co_return !error;
}

task<bool> routed_worker::write_part(tcp_stream& stream, std::string text, bool is_unframed) {
    if (is_unframed) {
        auto [error, size] = co_await asio::async_write(stream, asio::buffer(text), use_tuple);
        co_return !error;
    }
    const auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, size] = co_await asio::async_write(stream, chunk, use_tuple);
    co_return !error;
}

stream_faults routed_worker::stream_faults_of(const http_request& request) const {
    const bool is_affected = request.target().find(stream_faults_.only_path) != std::string_view::npos;
    return is_affected ? stream_faults_ : stream_faults{};
}

/// First event of a run: the one behind the last event that the caller has, or what a fault
/// makes of it.
std::int64_t routed_worker::first_event_of(const http_request& request, const stream_faults& faults) const {
    const std::string last_event_id{request["Last-Event-Id"]};
    if (last_event_id.empty() || faults.begins_anew) {
        return 1;
    }
    const std::int64_t next = number_behind(std::stoll(last_event_id), faults.numbering);
    const bool is_known = next > 2 && request.count("Resumes") == 0;
    if (faults.omits_if_known && !is_known) {
        return next;
    }
    return std::max(next, std::min(next + faults.omitted_events, event_count_));
}

/// The parts in which a run is sent: events, or segments that may end within one.
std::vector<std::string> routed_worker::parts_of(std::int64_t first_event,
                                                 const stream_faults& faults) const {
    std::vector<std::string> parts;
    for (std::int64_t id = first_event; id <= event_count_; ++id) {
        parts.push_back(format_event(id, faults));
    }
    if (faults.segment_bytes == 0) {
        return parts;
    }
    const std::string text = std::accumulate(parts.begin(), parts.end(), std::string{});
    parts.clear();
    for (std::size_t begin = 0; begin < text.size(); begin += faults.segment_bytes) {
        parts.push_back(text.substr(begin, faults.segment_bytes));
    }
    return parts;
}

/// Sends the events of a run.
/// @return whether they are whole
task<bool> routed_worker::write_parts(tcp_stream& stream, const stream_faults& faults,
                                      std::int64_t first_event) {
    std::int64_t sent = 0;
    for (std::string& part : parts_of(first_event, faults)) {
        co_await sleep_for(faults.event_gap);
        if (faults.cut_after_events > 0 && sent == faults.cut_after_events) {
            // Sends part of an event before closing the connection.
            co_await write_part(stream, part.substr(0, 8), faults.is_unframed);
            co_return false;
        }
        if (faults.close_after_events > 0 && sent == faults.close_after_events) {
            co_return false;
        }
        const bool is_sent = co_await write_part(stream, std::move(part), faults.is_unframed);
        if (!is_sent) {
            ++aborted_runs_;
            co_return false;
        }
        ++sent;
    }
    co_return true;
}

task<bool> routed_worker::run_stream(tcp_stream& stream, const http_request& request) {
    const stream_faults faults = stream_faults_of(request);
    const bool has_begun = co_await begin_stream(stream, request, faults.is_unframed);
    if (!has_begun) {
        co_return false;
    }
    const std::string_view parts = request["Citronwick-Prompt-Prefix"];
    if (!crashing_part_.empty() && parts.find(crashing_part_) != std::string_view::npos) {
        std::_Exit(EXIT_FAILURE);
    }
    const std::int64_t first_event = first_event_of(request, faults);
    const bool is_whole = co_await write_parts(stream, faults, first_event);
    if (!is_whole || faults.is_unframed) {
        reset_on_close(stream, faults.resets);
        co_return false;
    }
    const auto end = http::make_chunk_last();
    auto [error, size] = co_await asio::async_write(stream, end, use_tuple);
    co_return !error;
}

} // namespace citronwick::standin
