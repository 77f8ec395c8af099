#include "citronwick/traffic/chat_handler.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/control/control_plane.hpp"
#include "citronwick/control/load_report.hpp"
#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/field_value.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/attempt_policy.hpp"
#include "citronwick/policy/stream_position.hpp"
#include "citronwick/traffic/authentication.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/chat_request.hpp"
#include "citronwick/traffic/event_field.hpp"
#include "citronwick/traffic/event_sequence.hpp"
#include "citronwick/traffic/event_splitter.hpp"
#include "citronwick/traffic/traffic_context.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr const char* hint_header = "Citronwick-Context";
constexpr const char* chat_header = "Citronwick-Chat";
constexpr const char* request_id_header = "X-Request-Id";
constexpr int max_attempts = 3;
constexpr int max_resumes = 2;
constexpr std::chrono::milliseconds crash_check_timeout{200};
constexpr std::chrono::milliseconds crash_check_pause{100};
constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

/// Result of one attempt on one upstream.
enum class attempt_result : std::uint8_t {
    answered, ///< the response was sent, or the caller has disconnected
    not_run,  ///< the upstream did not process the request
    failed    ///< the upstream may have processed the request; nothing was sent to the caller
};

/// Serves one chat completion request: admits it, sends it to upstreams, and
/// relays the response.
class chat_exchange {
public:
    chat_exchange(thread_context& thread, caller& from, const http_request& request)
        : thread_{thread}, caller_{from}, request_{request}, view_{thread.shared.control.view()} {}

    task<void> run() {
        if (auto refusal = prepare()) {
            co_await refuse(std::move(*refusal));
            co_return;
        }
        async_mutex::guard suspect_lock;
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            if (admission_.is_suspect && !suspect_lock) {
                suspect_lock = co_await thread_.shared.suspect_mutex.try_lock_for(preset_->queue_timeout);
            }
            auto admitted = co_await thread_.shared.admission_control.admit(admission_);
            if (admitted.has_error()) {
                auto refusal = final_refusal(admitted.error());
                co_await refuse(std::move(refusal));
                co_return;
            }
            const auto result = co_await try_upstream(*admitted);
            if (result == attempt_result::answered) {
                co_return;
            }
            may_have_run_ = may_have_run_ || result == attempt_result::failed;
            admission_.excluded.push_back(admitted->upstream.hash);
            if (crash_limit_reached()) {
                break;
            }
            if (result == attempt_result::failed && !thread_.retries.take_retry()) {
                break;
            }
            thread_.shared.counters.count_retry(admission_.service);
        }
        auto refusal = final_refusal({503, "upstreams-failed", to_text(last_error_), outcome::not_run, 1s});
        co_await refuse(std::move(refusal));
    }

private:
    /// Validates the request and fills in the admission request.
    /// @return the refusal, if the request is not acceptable
    std::optional<problem> prepare() {
        if (!view_->config) {
            return problem{503, "no-configuration", "no configuration is in force yet", outcome::not_run, 2s};
        }
        const declaration& declared = view_->config->declared;
        const team* const caller_team = authenticate(declared, request_[http::field::authorization]);
        if (caller_team == nullptr) {
            return problem{401, "unknown-team", "the bearer key belongs to no team"};
        }
        auto parsed = io_result_of<chat_request>(
            [&] { return parse_chat_request(request_.body(), request_[chat_header]); });
        if (parsed.has_error()) {
            return problem{400, "bad-request", parsed.error().detail};
        }
        const service* const target = declared.find_service_of_model(parsed->model);
        if (target == nullptr) {
            return problem{404, "unknown-model", "no service serves the model \"" + parsed->model + "\""};
        }
        chat_ = std::move(*parsed);
        preset_ = &view_->config->active;
        admission_ = {.service = target->name,
                      .team = caller_team->name,
                      .team_weight = caller_team->weight,
                      .placement = {hash64(chat_.chat_id, hash64(caller_team->name))},
                      .policy = preset_->placement,
                      .request_id = caller_.request_id(),
                      .chat_id = chat_.chat_id};
        admission_.placement.context_holder = context_holder();
        fingerprint_ = hash64(request_.body(), hash64(caller_team->name));
        admission_.is_suspect = thread_.shared.control.suspects().crashes(fingerprint_, clock::now()) > 0;
        if (crash_limit_reached()) {
            return problem{422, "crashes-upstreams", "upstreams crashed each time that this request ran"};
        }
        thread_.retries.record_request(preset_->retry_share);
        return std::nullopt;
    }

    bool crash_limit_reached() const {
        const auto crashes = thread_.shared.control.suspects().crashes(fingerprint_, clock::now());
        return crashes >= suspect_table::crash_limit;
    }

    enum class health_result : std::uint8_t { refused, broken, other };

    task<health_result> check_health(const upstream_view& upstream) {
        constexpr std::uint64_t max_health_bytes = 65'536;
        http_connection connection{co_await asio::this_coro::executor, upstream.address, max_health_bytes};
        http_request health_request{http::verb::get, "/health", 11};
        const auto sent_at = clock::now();
        auto health_response = co_await connection.exchange(std::move(health_request), crash_check_timeout);
        const bool timed_out = clock::now() - sent_at >= crash_check_timeout;
        if (health_response.has_value() || timed_out) {
            co_return health_result::other;
        }
        co_return health_response.error().step == "connect" ? health_result::refused : health_result::broken;
    }

    /// Checks whether the upstream's process ended while it ran the request, and
    /// records the crash.
    task<void> check_for_crash(const upstream_view& upstream) {
        auto result = co_await check_health(upstream);
        if (result == health_result::broken) {
            // A process that ends closes its listener a moment after its connections.
            asio::steady_timer pause{co_await asio::this_coro::executor, crash_check_pause};
            co_await pause.async_wait(use_tuple);
            result = co_await check_health(upstream);
        }
        // Only a refused connection shows that the upstream's process has ended: a
        // frozen process does not reply, and the network may reset a connection
        // that it had accepted.
        if (result != health_result::refused) {
            co_return;
        }
        const auto crash_id = short_hash(hash64(random_id()));
        const auto crashes =
            thread_.shared.control.suspects().record_crash(fingerprint_, crash_id, clock::now());
        thread_.shared.control.report_connect_result(upstream.hash, false);
        admission_.is_suspect = true;
        log_warn("upstream_crashed", {{"request", caller_.request_id()},
                                      {"upstream", upstream.name},
                                      {"crashes", std::to_string(crashes)}});
    }

    /// Upstream named by the caller's hint, unless it has restarted since then.
    std::optional<std::uint64_t> context_holder() const {
        const auto hint = parse_placement_hint(request_[hint_header]);
        const auto upstreams = view_->upstreams.find(admission_.service);
        if (!preset_->hints || !hint || hint->chat_hash != admission_.placement.chat ||
            upstreams == view_->upstreams.end()) {
            return std::nullopt;
        }
        const auto found = std::ranges::find(upstreams->second, hint->upstream, &upstream_view::hash);
        const bool still_running = found != upstreams->second.end() &&
                                   (found->incarnation == hint->incarnation || found->incarnation == 0);
        return still_running ? std::optional{hint->upstream} : std::nullopt;
    }

    /// The refusal to send, with an unknown outcome if an earlier attempt may have run.
    problem final_refusal(problem last) const {
        if (may_have_run_) {
            last.status = 502;
            last.type = "upstream-failed";
            last.result = outcome::unknown;
            last.detail = to_text(last_error_);
        }
        return last;
    }

    task<void> refuse(problem refusal) {
        thread_.shared.counters.count_request(admission_.service, refusal.result, refusal.type);
        log_info("request_refused", {{"request", caller_.request_id()},
                                     {"service", admission_.service},
                                     {"team", admission_.team},
                                     {"type", std::string{refusal.type}},
                                     {"outcome", std::string{to_text(refusal.result)}},
                                     {"detail", refusal.detail}});
        co_await caller_.refuse(std::move(refusal));
    }

    http_request upstream_request() const {
        http_request forwarded{http::verb::post, "/v1/chat/completions", 11};
        forwarded.set(http::field::content_type, "application/json");
        forwarded.set(request_id_header, caller_.request_id());
        forwarded.set(load_report_format_header, "JSON");
        if (const auto priority = request_["Priority"]; !priority.empty()) {
            forwarded.set("Priority", priority);
        }
        forwarded.body() = request_.body();
        return forwarded;
    }

    task<attempt_result> try_upstream(const admitted_request& admitted) {
        const upstream_view& upstream = admitted.upstream;
        auto connection = thread_.pool.acquire(upstream.address, request_hash(), clock::now());
        const auto result = co_await exchange(*connection, upstream);
        caller_.on_disconnect(nullptr);
        if (result == attempt_result::failed) {
            co_await check_for_crash(upstream);
        }
        thread_.pool.release(std::move(connection), clock::now());
        thread_.shared.admission_control.request_ended(admission_.service);
        co_return result;
    }

    /// Sends the request and reads the header of the response.
    task<io_result<void>> start_response(upstream_connection& connection, http_request forwarded) {
        auto connected = co_await connection.connect(preset_->connect_timeout);
        if (connected.has_error()) {
            co_return connected.error();
        }
        caller_.on_disconnect([&connection] { connection.close(); });
        auto sent = co_await connection.send(std::move(forwarded), preset_->first_byte_timeout);
        if (sent.has_error()) {
            co_return sent.error();
        }
        const auto limit =
            chat_.stream ? std::nullopt : std::optional<std::uint64_t>{thread_.shared.settings.answer_bytes};
        co_return co_await connection.read_header(limit, preset_->first_byte_timeout);
    }

    task<attempt_result> exchange(upstream_connection& connection, const upstream_view& upstream) {
        auto forwarded = upstream_request();
        auto opened = co_await start_response(connection, std::move(forwarded));
        if (opened.has_error()) {
            co_return record_failure(upstream, opened.error());
        }
        record_load_report(connection, upstream);
        if (!request_id_matches(connection)) {
            connection.close();
            co_return record_failure(upstream,
                                     {"check answer", upstream.name, "it belongs to another request", true});
        }
        if (reports_failure(connection.status())) {
            record_refusal(connection);
        }
        if (connection.status() == 503) {
            auto body = co_await connection.read_all(preset_->idle_timeout);
            const std::string detail = "it refuses new work " + (body.has_value() ? *body : std::string{});
            co_return record_failure(upstream, {"ask upstream", upstream.name, detail, false});
        }
        if (connection.status() == 200 && is_event_stream(connection)) {
            co_return co_await relay_stream(connection, upstream);
        }
        co_return co_await relay_response(connection, upstream);
    }

    attempt_result record_failure(const upstream_view& upstream, const failure& error) {
        last_error_ = error;
        if (caller_.disconnected()) {
            record_disconnect();
            return attempt_result::answered;
        }
        if (error.step == "connect") {
            thread_.shared.control.report_connect_result(upstream.hash, false);
        }
        log_warn("attempt_failed", {{"request", caller_.request_id()},
                                    {"upstream", upstream.name},
                                    {"step", error.step},
                                    {"peer", error.peer},
                                    {"detail", error.detail},
                                    {"may_have_run", error.may_have_taken_effect ? "yes" : "no"}});
        return error.may_have_taken_effect ? attempt_result::failed : attempt_result::not_run;
    }

    void record_disconnect() {
        caller_.close_after_response();
        thread_.shared.counters.count_request(admission_.service, outcome::unknown, "caller-gone");
        log_info("caller_gone", {{"request", caller_.request_id()}, {"service", admission_.service}});
    }

    void record_load_report(const upstream_connection& connection, const upstream_view& upstream) {
        if (const auto report = parse_load_report(connection.header()[load_report_header])) {
            thread_.shared.control.report_load(upstream.hash, report->in_flight, report->incarnation,
                                               report->leaving);
        }
    }

    /// Start time of the process that responds, 0 if it reports none.
    static std::uint64_t incarnation_of(const upstream_connection& connection) {
        const auto report = parse_load_report(connection.header()[load_report_header]);
        return report ? report->incarnation : 0;
    }

    static bool is_event_stream(const upstream_connection& connection) {
        return connection.header()[http::field::content_type].starts_with("text/event-stream");
    }

    std::uint64_t request_hash() const { return hash64(caller_.request_id()); }

    /// Keeps copies of a refusal or failure from later requests on the connection.
    void record_refusal(upstream_connection& connection) const {
        if (connection.header()[request_id_header].empty()) {
            connection.record_unidentified_response();
        } else {
            connection.record_refusal(request_hash());
        }
    }

    bool request_id_matches(const upstream_connection& connection) const {
        const auto echoed = connection.header()[request_id_header];
        return echoed.empty() || echoed == caller_.request_id();
    }

    header_fields response_headers(const upstream_view& upstream) const {
        header_fields fields{{"Citronwick-Upstream", upstream.name}};
        if (preset_->hints) {
            fields.emplace_back(hint_header, to_text(placement_hint{admission_.placement.chat, upstream.hash,
                                                                    upstream.incarnation}));
        }
        return fields;
    }

    task<attempt_result> relay_response(upstream_connection& connection, const upstream_view& upstream) {
        auto body = co_await connection.read_complete(preset_->first_byte_timeout);
        if (body.has_error()) {
            co_return record_failure(upstream, body.error());
        }
        constexpr unsigned first_server_error = 500;
        if (connection.status() >= first_server_error) {
            const std::string status = "status " + std::to_string(connection.status());
            co_return record_failure(upstream, {"ask upstream", upstream.name, status, true});
        }
        count_tokens(*body);
        complete_response response{.status = connection.status(),
                                   .content_type =
                                       std::string{connection.header()[http::field::content_type]},
                                   .body = std::move(*body),
                                   .headers = response_headers(upstream)};
        co_await caller_.respond(std::move(response));
        record_completion(upstream);
        co_return attempt_result::answered;
    }

    void record_completion(const upstream_view& upstream) {
        thread_.shared.counters.count_request(admission_.service, outcome::complete, "answered");
        log_debug("request_complete", {{"request", caller_.request_id()}, {"upstream", upstream.name}});
    }

    /// Relays complete events as they arrive, and resumes an interrupted stream.
    task<attempt_result> relay_stream(upstream_connection& first, const upstream_view& upstream) {
        const auto incarnation = incarnation_of(first);
        event_splitter events;
        stream_position position;
        upstream_connection* source = &first;
        std::unique_ptr<upstream_connection> resumed;
        int resumes_left = max_resumes;
        while (!position.is_final()) {
            const auto timeout =
                caller_.response_started() ? preset_->idle_timeout : preset_->first_byte_timeout;
            auto chunk = co_await source->read_some(timeout);
            std::optional<sequence_fault> fault;
            const bool has_bytes = chunk.has_value() && !chunk->empty();
            if (has_bytes) {
                complete_events arrived = events.push(*chunk);
                fault = remove_faulty_events(arrived, position);
                const bool delivered = co_await forward(std::move(arrived.bytes), upstream);
                if (!delivered) {
                    source->close();
                    record_disconnect();
                    co_return attempt_result::answered;
                }
                std::ranges::for_each(arrived.events,
                                      [&](const stream_event& each) { position.advance(each); });
            }
            if (has_bytes && !fault && events.pending_bytes() <= max_event_bytes) {
                continue;
            }
            source->close();
            const std::string detail =
                fault ? "an event is " + std::string{to_text(*fault)} : "the stream ended early";
            const failure error =
                chunk.has_error() ? chunk.error() : failure{"read answer", upstream.name, detail, true};
            if (caller_.disconnected() || !caller_.response_started()) {
                co_return record_failure(upstream, error);
            }
            events.discard_pending();
            resumed.reset();
            if (position.is_resumable() && resumes_left-- > 0) {
                const std::string& last_id = position.last_event_id();
                resumed = co_await resume(upstream, last_id, incarnation);
                position.begin_run();
            }
            if (!resumed) {
                co_await check_for_crash(upstream);
                co_await end_with_error(upstream, error);
                co_return attempt_result::answered;
            }
            source = resumed.get();
        }
        co_await finish_stream(*source, upstream);
        co_return attempt_result::answered;
    }

    /// @return false if the caller has disconnected
    task<bool> forward(std::string events, const upstream_view& upstream) {
        if (events.empty()) {
            co_return true;
        }
        if (!caller_.response_started()) {
            auto headers = response_headers(upstream);
            const bool started = co_await caller_.begin_stream(std::move(headers));
            if (!started) {
                co_return false;
            }
        }
        if (const auto usage = events.find("\"usage\":{"); usage != std::string::npos) {
            const std::string_view text{events};
            const auto line_begin = text.find_last_of("\r\n", usage) + 1; // zero if there is none
            const auto line_end = text.find_first_of("\r\n", usage);
            count_tokens(parse_event_field(text.substr(line_begin, line_end - line_begin)).value);
        }
        co_return co_await caller_.write_events(std::move(events));
    }

    /// Asks the same upstream to continue after the last relayed event.
    /// @param incarnation of the process that began the stream. Another one at the same address has
    ///        chosen other tokens, even if it goes on behind that event.
    /// @return null if the stream cannot be resumed
    task<std::unique_ptr<upstream_connection>> resume(const upstream_view& upstream,
                                                      std::string last_event_id, std::uint64_t incarnation) {
        if (last_event_id.empty() || !is_field_value(last_event_id)) {
            co_return nullptr;
        }
        auto connection = thread_.pool.create(upstream.address);
        auto resume_request = upstream_request();
        resume_request.set("Last-Event-ID", last_event_id);
        auto opened = co_await start_response(*connection, std::move(resume_request));
        const bool resumed = opened.has_value() && connection->status() == 200 &&
                             is_event_stream(*connection) && request_id_matches(*connection) &&
                             incarnation_of(*connection) == incarnation;
        log_info("stream_resume", {{"request", caller_.request_id()},
                                   {"upstream", upstream.name},
                                   {"after_event", last_event_id},
                                   {"resumed", resumed ? "yes" : "no"}});
        co_return resumed ? std::move(connection) : nullptr;
    }

    task<void> finish_stream(upstream_connection& source, const upstream_view& upstream) {
        auto rest = co_await source.read_all(preset_->idle_timeout);
        const bool sent = co_await caller_.end_stream(outcome::complete);
        if (sent && rest.has_value()) {
            record_completion(upstream);
        } else {
            record_disconnect();
        }
    }

    /// Ends an interrupted stream with an error event, so that the caller cannot
    /// take it for complete.
    task<void> end_with_error(const upstream_view& upstream, const failure& error) {
        const problem refusal{502, "stream-cut", to_text(error), outcome::unknown};
        caller_.close_after_response();
        thread_.shared.counters.count_request(admission_.service, outcome::unknown, refusal.type);
        log_warn(
            "stream_cut",
            {{"request", caller_.request_id()}, {"upstream", upstream.name}, {"detail", refusal.detail}});
        std::string event = "event: error\ndata: " + to_json(refusal, caller_.request_id()) + "\n\n";
        const bool written = co_await caller_.write_events(std::move(event));
        if (written) {
            co_await caller_.end_stream(outcome::unknown);
        }
    }

    void count_tokens(std::string_view json) {
        const auto object = parse_json_object(json);
        const auto* const usage = object ? object_member(*object, "usage") : nullptr;
        if (usage == nullptr) {
            return;
        }
        const auto* const details = object_member(*usage, "prompt_tokens_details");
        const double cached = details == nullptr ? 0.0 : number_member(*details, "cached_tokens");
        thread_.shared.counters.count_prompt_tokens(admission_.service,
                                                    number_member(*usage, "prompt_tokens"), cached);
    }

    thread_context& thread_;
    caller& caller_;
    const http_request& request_;
    std::shared_ptr<const fleet_view> view_;
    chat_request chat_;
    const preset* preset_ = nullptr;
    admission_request admission_;
    std::uint64_t fingerprint_ = 0;
    failure last_error_;
    bool may_have_run_ = false;
};

} // namespace

task<void> serve_chat(thread_context& thread, caller& from, const http_request& request) {
    chat_exchange exchange{thread, from, request};
    co_await exchange.run();
}

} // namespace citronwick
