// Relays the event stream of a routed request, from one upstream or from several in turn.

#include "citronwick/fleet/begun_streams.hpp"
#include "citronwick/fleet/last_events.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/stream_numberings.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/event_sequence.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/case_conv.hpp>
#include <utility>

namespace citronwick {

using namespace std::chrono_literals;

namespace {

/// Largest event of a stream; bytes without an event boundary may come without end.
constexpr std::size_t max_event_bytes = 1'048'576;

std::string_view framing_of(const upstream_connection& connection) {
    if (!connection.is_framed()) {
        return "none";
    }
    return connection.header().count(http::field::transfer_encoding) > 0 ? "chunked" : "length";
}

/// Type and subtype of a body in lower case, empty if the field is absent.
std::string media_type_of(const http::fields& fields) {
    const std::string_view value = fields[http::field::content_type];
    std::string type{value.substr(0, value.find_first_of("; \t"))};
    boost::algorithm::to_lower(type);
    return type;
}

std::string weights_text(std::optional<std::uint64_t> version) {
    return version ? std::to_string(*version) : "-";
}

} // namespace

/// Text of an event's identifier for the log.
std::string event_id_text(const std::string& id) {
    return id.empty() ? "-" : id;
}

task<exchange_result> route_exchange::relay_event_stream(upstream_connection& connection) {
    const std::string resumed_after = position_.last_event_id();
    const std::string_view framing = framing_of(connection);
    const bool continues = state_.response_started;
    note_response_of_process(connection);
    const auto earlier = is_unproved_end() ? unproved_ : std::nullopt;
    ++runs_;
    const auto begun = clock::now();
    run_version_ = begun_streams::version_hash(service_->name, placement_->upstream.entry.version);
    position_.begin_run(context_.plane.numberings().numbering_of(run_version_, begun),
                        context_.dialect.read_response(connection.header()).weight_version);
    expected_end_ = context_.plane.ends().last_event_of(run_version_, begun);
    auto result = co_await relay_run(connection);
    record_run();
    if (earlier && position_.run_events() > 0) {
        record_early_end(*earlier);
    }
    context_.counters.count_stream_run(service_->name, continues, to_text(stream_end_));
    log_info("stream_run_ended", {{"request", caller_.request_id()},
                                  {"upstream", placement_->upstream.entry.id},
                                  {"software", placement_->upstream.entry.version},
                                  {"resumed_after", event_id_text(resumed_after)},
                                  {"first_event", event_id_text(position_.run_first_event_id())},
                                  {"last_event", last_event_text()},
                                  {"events", std::to_string(position_.run_events())},
                                  {"weights", weights_text(position_.weight_version())},
                                  {"framing", std::string{framing}},
                                  {"end", std::string{to_text(stream_end_)}}});
    co_return result;
}

/// Remembers what the run shows of all streams of its version.
void route_exchange::record_run() {
    if (route_->kind != request_kind::resumable_stream) {
        return;
    }
    const auto now = clock::now();
    const bool is_whole = stream_is_complete_ && stream_end_ != stream_end::connection_closed;
    if (const auto numbering = position_.shown_numbering(is_whole)) {
        context_.plane.numberings().record(run_version_, *numbering, now);
    }
    if (std::exchange(passed_known_last_event_, false)) {
        context_.plane.ends().record_followed(run_version_, now);
    }
    if (is_whole && last_data_) {
        context_.plane.ends().record_end(run_version_, *last_data_, now);
    }
}

/// Moves behind an event that was written to the caller.
void route_exchange::note_relayed(const stream_event& event) {
    position_.advance(event);
    if (event.has_data) {
        passed_known_last_event_ = passed_known_last_event_ || (last_data_ && last_data_ == expected_end_);
        last_data_ = event.data_hash;
    }
}

/// Relays complete events only, so that an interrupted stream can be resumed on
/// another upstream after its last event.
task<exchange_result> route_exchange::relay_run(upstream_connection& connection) {
    if (state_.response_started && media_type_of(connection.header()) != media_type_) {
        connection.close();
        co_return end_run(stream_end::other_content, "it goes on with another content type");
    }
    while (true) {
        auto chunk = co_await connection.read_some(std::max(remaining_time(clock::now()), 1ms));
        if (chunk.has_error()) {
            co_return end_run(stream_end::broken, to_text(chunk.error()));
        }
        if (chunk->empty()) {
            break;
        }
        if (remaining_time(clock::now()) <= 0ms) {
            connection.close();
            co_return end_run(stream_end::deadline, "the deadline has passed");
        }
        complete_events arrived = events_.push(*chunk);
        const auto fault = route_->kind == request_kind::resumable_stream
                               ? remove_faulty_events(arrived, position_)
                               : std::nullopt;
        const bool is_relayed = co_await relay_events(connection, std::move(arrived));
        if (!is_relayed) {
            co_return end_run(stream_end::caller_left, "the caller left");
        }
        if (fault) {
            connection.close();
            co_return end_run(stream_end::out_of_sequence, "an event is " + std::string{to_text(*fault)} +
                                                               " behind event " + last_event_text());
        }
        if (events_.pending_bytes() > max_event_bytes) {
            connection.close();
            co_return end_run(stream_end::overlong_event, "an event is too long");
        }
        if (!may_buffer_response(events_.pending_bytes())) {
            connection.close();
            co_return end_run(stream_end::no_memory, "no memory for an event");
        }
    }
    if (events_.pending_bytes() > 0) {
        co_return end_run(stream_end::incomplete_event, "the stream ended within an event");
    }
    auto unproved = co_await check_end(connection);
    if (unproved) {
        co_return *unproved;
    }
    const bool has_begun = co_await begin_stream(connection);
    if (!has_begun) {
        co_return end_run(stream_end::caller_left, "the caller left");
    }
    co_await caller_.end_relay();
    stream_is_complete_ = true;
    co_return exchange_result{attempt_outcome::answered, "stream complete"};
}

/// The result of a run whose stream is not complete.
exchange_result route_exchange::end_run(stream_end end, std::string detail) {
    constexpr std::array broken_ends{stream_end::broken, stream_end::incomplete_event,
                                     stream_end::upstream_gone};
    stream_end_ = end;
    const bool is_broken = std::ranges::find(broken_ends, end) != broken_ends.end();
    return {attempt_outcome::may_have_run, std::move(detail), is_broken, end == stream_end::no_memory};
}

task<bool> route_exchange::begin_stream(upstream_connection& connection) {
    if (state_.response_started) {
        co_return true;
    }
    state_.response_started = true;
    media_type_ = media_type_of(connection.header());
    record_stream();
    auto head = make_response_head(connection);
    co_return co_await caller_.begin_relay(std::move(head));
}

/// Writes events to the caller. Its position moves only once they are written, since a run that
/// goes on elsewhere begins there.
task<bool> route_exchange::relay_events(upstream_connection& connection, complete_events arrived) {
    if (arrived.bytes.empty()) {
        co_return true;
    }
    if (!co_await begin_stream(connection)) {
        co_return false;
    }
    const bool is_written = co_await caller_.write_events(std::move(arrived.bytes));
    if (!is_written) {
        co_return false;
    }
    std::ranges::for_each(arrived.events, [this](const stream_event& each) { note_relayed(each); });
    co_return true;
}

/// Identifier of the last event that was relayed; "-" if it has none or no event was relayed.
std::string route_exchange::last_event_text() const {
    return position_.is_resumable() ? event_id_text(position_.last_event_id()) : "-";
}

} // namespace citronwick
