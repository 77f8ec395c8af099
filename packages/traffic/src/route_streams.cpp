// Relays the event stream of a routed request, from one upstream or from several in turn.

#include "citronwick/io/log.hpp"
#include "citronwick/traffic/event_sequence.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"
#include "upstream_exchange.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/case_conv.hpp>

namespace citronwick {

using namespace std::chrono_literals;

namespace {

/// Largest event of a stream; bytes without an event boundary may come without end.
constexpr std::size_t max_event_bytes = 1'048'576;

/// Time for which the streams of a service are not trusted to end with their connections after one
/// was found to go on.
constexpr duration early_end_memory = 10min;

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

} // namespace

/// Text of an event's identifier for the log.
std::string event_id_text(const std::string& id) {
    return id.empty() ? "-" : id;
}

task<exchange_result> route_exchange::relay_event_stream(upstream_connection& connection) {
    const std::string resumed_after = position_.last_event_id();
    const std::string_view framing = framing_of(connection);
    const bool continues = state_.response_started;
    position_.begin_run();
    auto result = co_await relay_run(connection);
    ++runs_;
    record_confirmation(clock::now());
    context_.counters.count_stream_run(service_->name, continues, to_text(stream_end_));
    log_info("stream_run_ended", {{"request", caller_.request_id()},
                                  {"upstream", placement_->upstream.entry.id},
                                  {"software", placement_->upstream.entry.version},
                                  {"resumed_after", event_id_text(resumed_after)},
                                  {"first_event", event_id_text(position_.run_first_event_id())},
                                  {"last_event", last_event_text()},
                                  {"events", std::to_string(position_.run_events())},
                                  {"framing", std::string{framing}},
                                  {"end", std::string{to_text(stream_end_)}}});
    co_return result;
}

/// Relays complete events only, so that an interrupted stream can be resumed on
/// another upstream after its last event.
task<exchange_result> route_exchange::relay_run(upstream_connection& connection) {
    constexpr bool is_broken = true;
    constexpr bool is_local = true;
    if (state_.response_started && media_type_of(connection.header()) != media_type_) {
        connection.close();
        co_return end_run(stream_end::other_content, "it goes on with another content type");
    }
    while (true) {
        auto chunk = co_await connection.read_some(std::max(remaining_time(clock::now()), 1ms));
        if (chunk.has_error()) {
            co_return end_run(stream_end::broken, to_text(chunk.error()), is_broken);
        }
        if (chunk->empty()) {
            break;
        }
        if (remaining_time(clock::now()) <= 0ms) {
            connection.close();
            co_return end_run(stream_end::deadline, "the deadline has passed");
        }
        complete_events arrived = events_.push(*chunk);
        const auto fault = remove_faulty_events(arrived, position_);
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
            co_return end_run(stream_end::no_memory, "no memory for an event", false, is_local);
        }
    }
    if (events_.pending_bytes() > 0) {
        co_return end_run(stream_end::incomplete_event, "the stream ended within an event", is_broken);
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

/// Looks for what shows that the stream is whole. A response without length or chunks ends with
/// its connection, which the kernel closes in the same way if the upstream's process ends.
/// @return the result of the run if the end is not proved
task<std::optional<exchange_result>> route_exchange::check_end(const upstream_connection& connection) {
    if (connection.is_framed() || position_.is_final()) {
        stream_end_ = connection.is_framed() ? stream_end::framed : stream_end::final_event;
        co_return std::nullopt;
    }
    if (route_->kind == request_kind::resumable_stream) {
        // Another run shows whether an event follows. The same upstream is asked, which is known to
        // live then and has the prompt in its cache.
        if (unproved_end_ == position_.events()) {
            stream_end_ = stream_end::confirmed;
            co_return std::nullopt;
        }
        unproved_end_ = position_.events();
        unproved_at_ = connection.peer();
        stream_end_ = stream_end::unproved;
        co_return exchange_result{attempt_outcome::unproved_end,
                                  "the connection was closed, which does not show the end"};
    }
    const bool has_ended = co_await crash_probe::has_ended(connection.peer());
    if (has_ended) {
        co_return end_run(stream_end::process_ended, "the upstream's process ended with the connection",
                          true);
    }
    stream_end_ = stream_end::connection_closed;
    co_return std::nullopt;
}

/// Remembers that a connection was closed before the end of its stream, if a second run shows it.
void route_exchange::record_confirmation(time_point now) {
    if (is_confirmation_ && position_.run_events() > 0) {
        context_.early_ends[service_->name] = now;
    }
}

/// Completes a stream whose end no second run may confirm, if its upstream lives and no stream of
/// the service was found to go on behind such an end lately.
task<void> route_exchange::accept_unproved_end() {
    const auto found = context_.early_ends.find(service_->name);
    const bool ends_early =
        found != context_.early_ends.end() && clock::now() - found->second < early_end_memory;
    constexpr std::array without_run{attempt_outcome::unproved_end, attempt_outcome::not_sent,
                                     attempt_outcome::not_run};
    const bool was_asked = std::ranges::find(without_run, state_.last_outcome) == without_run.end();
    if (ends_early || was_asked || !state_.response_started || caller_.disconnected()) {
        co_return;
    }
    const bool has_ended = co_await crash_probe::has_ended(unproved_at_);
    if (has_ended) {
        stream_end_ = stream_end::process_ended;
        co_return;
    }
    stream_end_ = stream_end::connection_closed;
    stream_is_complete_ = co_await caller_.end_relay();
}

/// The result of a run whose stream is not complete.
exchange_result route_exchange::end_run(stream_end end, std::string detail, bool is_broken, bool is_local) {
    stream_end_ = end;
    return {attempt_outcome::may_have_run, std::move(detail), is_broken, is_local};
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
    std::ranges::for_each(arrived.events, [this](const stream_event& each) { position_.advance(each); });
    co_return true;
}

/// Identifier of the last event that was relayed; "-" if it has none or no event was relayed.
std::string route_exchange::last_event_text() const {
    return position_.is_resumable() ? event_id_text(position_.last_event_id()) : "-";
}

} // namespace citronwick
