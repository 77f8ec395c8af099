#include "engine.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdlib>
#include <spdlog/fmt/fmt.h>

namespace citronwick::standin {

namespace {

namespace json = boost::json;
using boost::beast::tcp_stream;

constexpr std::int64_t default_max_tokens = 16;
constexpr std::chrono::milliseconds poll_interval{5};
constexpr std::size_t max_resumable = 1'000;

double seconds_since_epoch() {
    return std::chrono::duration<double>{std::chrono::system_clock::now().time_since_epoch()}.count();
}

std::string extract_prompt(const json::object& body) {
    std::string prompt;
    if (const auto* const messages = array_member(body, "messages")) {
        for (const json::value& message : *messages) {
            if (message.is_object()) {
                prompt += string_member(message.as_object(), "role") + ":";
                prompt += string_member(message.as_object(), "content") + "\n";
            }
        }
    }
    return prompt;
}

/// Text of a token. It depends on the prompt and index only, so every engine completes a prompt alike.
std::string token_text(const std::string& prompt, std::int64_t index) {
    return fmt::format("t{}-{:04x} ", index, hash64(prompt, static_cast<std::uint64_t>(index)) & 0xffffU);
}

json::object make_usage(std::size_t prompt, std::size_t cached, std::int64_t completion) {
    return {{"prompt_tokens", prompt},
            {"completion_tokens", completion},
            {"prompt_tokens_details", json::object{{"cached_tokens", cached}}}};
}

/// @param is_compact whether to leave out the optional space after each field name
std::string format_event(std::int64_t id, const json::object& data, bool is_compact) {
    const std::string separator = is_compact ? ":" : ": ";
    return "id" + separator + std::to_string(id) + "\ndata" + separator + json::serialize(data) + "\n\n";
}

task<bool> write_chunk(tcp_stream& stream, std::string text) {
    const auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, size] = co_await asio::async_write(stream, chunk, use_tuple);
    co_return !error;
}

} // namespace

engine::engine(asio::io_context& context, const std::string& ip, const engine_settings& settings)
    : settings_{settings}, start_time_{seconds_since_epoch()}, cache_{settings.cache_tokens},
      server_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                  return handle(stream, std::move(request));
              }} {
    asio::co_spawn(context, report_loop(), asio::detached);
}

task<void> engine::report_loop() {
    while (true) {
        co_await sleep_for(settings_.report_lag);
        reported_running_ = running_;
        reported_waiting_ = waiting_;
    }
}

std::string engine::load_report() const {
    return "JSON " + json::serialize(json::object{
                         {"named_metrics", json::object{{"num_requests_running", reported_running_},
                                                        {"num_requests_waiting", reported_waiting_},
                                                        {"process_start_time_seconds", start_time_},
                                                        {"draining", draining_ ? 1 : 0}}}});
}

std::string engine::response_id(const completion& job) const {
    return faults_.wrong_id ? "another" : job.id;
}

task<bool> engine::handle(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    if (target == "/standin/fault") {
        co_return co_await set_faults(stream, request.body());
    }
    if (target == "/standin/stats") {
        co_return co_await stats(stream);
    }
    while (faults_.freeze) {
        co_await sleep_for(poll_interval);
    }
    if (target == "/health") {
        ++probes_;
        auto report = load_report();
        co_return co_await send_response(stream, http::status::ok, "", "text/plain", std::move(report));
    }
    if (target == "/v1/chat/completions" && request.method() == http::verb::post) {
        co_return co_await handle_completion(stream, std::move(request));
    }
    co_return co_await send_response(stream, http::status::not_found, "{}");
}

task<bool> engine::set_faults(tcp_stream& stream, const std::string& body) {
    const auto fault_settings = parse_json_object(body).value_or(json::object{});
    faults_ = {.crash_on = string_member(fault_settings, "crash_on"),
               .cut_after_events = integer_member(fault_settings, "cut_after_events"),
               .remaining_cuts = integer_member(fault_settings, "cuts"),
               .freeze = integer_member(fault_settings, "freeze") != 0,
               .stall = integer_member(fault_settings, "stall") != 0,
               .refuse = integer_member(fault_settings, "refuse") != 0,
               .wrong_id = integer_member(fault_settings, "wrong_id") != 0,
               .compact_events = integer_member(fault_settings, "compact_events") != 0,
               .begin_anew = integer_member(fault_settings, "begin_anew") != 0,
               .resume_unknown = integer_member(fault_settings, "resume_unknown") != 0,
               .unframed_pause =
                   std::chrono::milliseconds{integer_member(fault_settings, "unframed_pause_ms")}};
    draining_ = integer_member(fault_settings, "draining") != 0;
    if (integer_member(fault_settings, "clear_cache") != 0) {
        cache_.clear();
    }
    json::object response{{"ok", true}};
    co_return co_await send_json(stream, std::move(response));
}

task<bool> engine::stats(tcp_stream& stream) {
    json::object counters{{"running", running_},
                          {"waiting", waiting_},
                          {"runs", runs_},
                          {"cancelled", cancelled_},
                          {"completed", completed_},
                          {"resumed", resumed_},
                          {"events", events_},
                          {"probes", probes_},
                          {"prompt_tokens", prompt_tokens_},
                          {"cached_tokens", cached_tokens_}};
    co_return co_await send_json(stream, std::move(counters));
}

task<bool> engine::handle_completion(tcp_stream& stream, http_request request) {
    const auto body = parse_json_object(request.body()).value_or(json::object{});
    completion job{
        .id = std::string{request["X-Request-Id"]},
        .prompt = extract_prompt(body),
        .tokens = body.contains("max_tokens") ? integer_member(body, "max_tokens") : default_max_tokens,
        .stream = body.contains("stream") && body.at("stream").is_bool() && body.at("stream").as_bool()};
    if (!faults_.crash_on.empty() && job.prompt.find(faults_.crash_on) != std::string::npos) {
        std::_Exit(1);
    }
    if (faults_.refuse || (draining_ && request["Last-Event-ID"].empty())) {
        auto report = load_report();
        co_return co_await send_response(stream, http::status::service_unavailable, "{}", "application/json",
                                         std::move(report));
    }
    const std::string last{request["Last-Event-ID"]};
    if (!last.empty() && !find_position(last, job)) {
        co_return co_await send_response(stream, http::status::gone, "{}");
    }
    co_return co_await run(stream, job);
}

/// Finds the stream to resume and the event to go on with.
/// @return false if this process has not begun the stream
bool engine::find_position(std::string_view last_event_id, completion& job) {
    const auto found = resumable_.find(job.id);
    if (found != resumable_.end()) {
        job = found->second;
    } else if (faults_.resume_unknown) {
        job.prompt += "(another process)";
    } else {
        return false;
    }
    if (!faults_.begin_anew) {
        std::from_chars(last_event_id.data(), last_event_id.data() + last_event_id.size(), job.next);
        ++job.next;
    }
    ++resumed_;
    return true;
}

task<bool> engine::run(tcp_stream& stream, completion& job) {
    if (job.next == 1) {
        ++runs_;
    }
    if (!co_await wait_for_slot(stream)) {
        ++cancelled_;
        co_return false;
    }
    ++running_;
    bool completed = job.next > 1 || co_await prefill(stream, job);
    if (completed) {
        completed =
            job.stream ? co_await stream_completion(stream, job) : co_await send_completion(stream, job);
    }
    --running_;
    ++(completed ? completed_ : cancelled_);
    co_return completed;
}

task<bool> engine::wait_for_slot(tcp_stream& stream) {
    ++waiting_;
    bool connected = true;
    while (connected && running_ >= settings_.slots) {
        co_await sleep_for(poll_interval);
        connected = !is_closed(stream);
    }
    --waiting_;
    co_return connected;
}

task<bool> engine::prefill(tcp_stream& stream, completion& job) {
    job.prompt_tokens = token_count(job.prompt);
    job.cached_tokens = std::min(cache_.lookup(job.prompt), job.prompt_tokens);
    prompt_tokens_ += job.prompt_tokens;
    cached_tokens_ += job.cached_tokens;
    auto remaining =
        settings_.prefill_per_token * static_cast<std::int64_t>(job.prompt_tokens - job.cached_tokens);
    while (remaining.count() > 0) {
        const auto slice = std::min<std::chrono::microseconds>(remaining, poll_interval);
        co_await sleep_for(slice);
        remaining -= slice;
        if (is_closed(stream)) {
            co_return false;
        }
    }
    cache_.insert(job.prompt);
    if (resumable_.size() >= max_resumable) {
        resumable_.erase(resumable_.begin());
    }
    resumable_[job.id] = job;
    co_return true;
}

/// Waits for the decoding of one token, which takes longer with a larger batch.
/// @return false if the caller has disconnected
task<bool> engine::decode_step(tcp_stream& stream) const {
    const auto step_time = settings_.decode_per_token *
                           static_cast<std::int64_t>(settings_.slots + running_) /
                           static_cast<std::int64_t>(settings_.slots);
    co_await sleep_for(step_time);
    co_return !is_closed(stream);
}

task<bool> engine::stream_completion(tcp_stream& stream, completion& job) {
    http::response<http::empty_body> header{http::status::ok, 11};
    header.set(http::field::content_type, "text/event-stream");
    header.set("X-Request-Id", response_id(job));
    header.set("endpoint-load-metrics", load_report());
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer{header};
    auto [error, size] = co_await http::async_write_header(stream, serializer, use_tuple);
    if (error) {
        co_return false;
    }
    const bool cut = faults_.remaining_cuts > 0;
    faults_.remaining_cuts -= cut ? 1 : 0;
    const std::int64_t first = job.next;
    for (std::int64_t index = first; index <= job.tokens; ++index) {
        if (cut && index - first >= faults_.cut_after_events) {
            co_return false;
        }
        while (faults_.stall && index > first) {
            co_await sleep_for(poll_interval);
            if (is_closed(stream)) {
                co_return false;
            }
        }
        const json::object delta{{"content", token_text(job.prompt, index)}};
        const json::object choice{{"index", 0}, {"delta", delta}};
        auto text =
            format_event(index, {{"id", job.id}, {"choices", json::array{choice}}}, faults_.compact_events);
        if (!co_await decode_step(stream) || !co_await write_chunk(stream, std::move(text))) {
            co_return false;
        }
        ++events_;
    }
    const json::object last{{"id", job.id},
                            {"choices", json::array{}},
                            {"usage", make_usage(job.prompt_tokens, job.cached_tokens, job.tokens)}};
    std::string closing = format_event(job.tokens + 1, last, faults_.compact_events) +
                          (faults_.compact_events ? "data:[DONE]\n\n" : "data: [DONE]\n\n");
    if (!co_await write_chunk(stream, std::move(closing))) {
        co_return false;
    }
    const auto end = http::make_chunk_last();
    auto [end_error, end_size] = co_await asio::async_write(stream, end, use_tuple);
    co_return !end_error;
}

task<bool> engine::send_completion(tcp_stream& stream, completion& job) {
    std::string text;
    for (std::int64_t index = 1; index <= job.tokens; ++index) {
        if (!co_await decode_step(stream)) {
            co_return false;
        }
        text += token_text(job.prompt, index);
    }
    const json::object message{{"role", "assistant"}, {"content", text}};
    const json::object choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    auto body = json::serialize(
        json::object{{"id", job.id},
                     {"choices", json::array{choice}},
                     {"usage", make_usage(job.prompt_tokens, job.cached_tokens, job.tokens)}});
    auto report = load_report();
    auto id = response_id(job);
    if (faults_.unframed_pause.count() > 0) {
        co_return co_await send_unframed(stream, http::status::ok, std::move(body), std::move(id),
                                         faults_.unframed_pause);
    }
    co_return co_await send_response(stream, http::status::ok, std::move(body), "application/json",
                                     std::move(report), std::move(id));
}

} // namespace citronwick::standin
