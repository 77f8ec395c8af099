#include "citronwick/traffic/chat_handler.hpp"

#include "citronwick/config/io_result_of.hpp"
#include "citronwick/control/control_plane.hpp"
#include "citronwick/control/load_report.hpp"
#include "citronwick/control/suspect_registry.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/authentication.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/chat_request.hpp"
#include "citronwick/traffic/event_splitter.hpp"
#include "citronwick/traffic/traffic_context.hpp"

#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr const char* hint_field = "Citronwick-Context";
constexpr const char* chat_field = "Citronwick-Chat";
constexpr const char* request_id_field = "X-Request-Id";
constexpr int most_attempts = 3;
constexpr int most_resumes = 2;
constexpr std::chrono::milliseconds crash_check_timeout{200};
constexpr std::size_t event_limit = std::size_t{1} << 20U;

/// How one attempt on one engine ended.
enum class attempt_end : std::uint8_t {
    answered, ///< the caller has its answer, or is gone
    not_run,  ///< the engine certainly did not act
    failed    ///< the engine may have acted; nothing was sent to the caller
};

/// One chat completion on its way from caller to engine and back.
class chat_exchange {
public:
    chat_exchange(thread_context& thread, caller& from, const http_request& request)
        : thread_{thread}, from_{from}, request_{request}, view_{thread.shared.control.view()} {}

    task<void> run() {
        if (auto refusal = prepare()) {
            co_await refuse(std::move(*refusal));
            co_return;
        }
        async_mutex::guard turn;
        for (int attempt = 0; attempt < most_attempts; ++attempt) {
            if (admission_.is_suspect && !turn) {
                turn = co_await thread_.shared.suspect_turn.try_lock_for(policy_->queue_timeout);
            }
            auto admitted = co_await thread_.shared.admitter.admit(admission_);
            if (admitted.has_error()) {
                auto why = final_problem(admitted.error());
                co_await refuse(std::move(why));
                co_return;
            }
            const auto end = co_await attempt_on(*admitted);
            if (end == attempt_end::answered) {
                co_return;
            }
            maybe_run_ = maybe_run_ || end == attempt_end::failed;
            admission_.excluded.push_back(admitted->upstream.hash);
            if (is_convicted()) {
                break;
            }
            if (end == attempt_end::failed && !thread_.retries.take_retry()) {
                break;
            }
            thread_.shared.counters.count_retry(admission_.service);
        }
        auto why = final_problem({503, "upstreams-failed", to_text(last_error_), outcome::not_run, 1s});
        co_await refuse(std::move(why));
    }

private:
    /// Checks the request.
    /// @return the refusal, if it is not acceptable
    std::optional<problem> prepare() {
        if (!view_->config) {
            return problem{503, "no-configuration", "no configuration is in force yet", outcome::not_run, 2s};
        }
        const declaration& declared = view_->config->declared;
        const team* const customer = authenticate(declared, request_[http::field::authorization]);
        if (customer == nullptr) {
            return problem{401, "unknown-team", "the bearer key belongs to no team"};
        }
        auto parsed = io_result_of<chat_request>(
            [&] { return parse_chat_request(request_.body(), request_[chat_field]); });
        if (parsed.has_error()) {
            return problem{400, "bad-request", parsed.error().detail};
        }
        const service* const target = declared.find_service_of_model(parsed->model);
        if (target == nullptr) {
            return problem{404, "unknown-model", "no service serves the model \"" + parsed->model + "\""};
        }
        chat_ = std::move(*parsed);
        policy_ = &view_->config->active;
        admission_ = {.service = target->name,
                      .team = customer->name,
                      .team_weight = customer->weight,
                      .placement = {hash64(chat_.chat, hash64(customer->name))},
                      .policy = policy_->placement,
                      .request_id = from_.request_id(),
                      .chat = chat_.chat};
        admission_.placement.context_at = context_holder();
        fingerprint_ = hash64(request_.body(), hash64(customer->name));
        admission_.is_suspect = thread_.shared.control.suspects().crashes(fingerprint_, clock::now()) > 0;
        if (is_convicted()) {
            return problem{422, "crashes-upstreams", "upstreams crashed each time that this request ran"};
        }
        thread_.retries.record_request(policy_->retry_share);
        return std::nullopt;
    }

    bool is_convicted() const {
        const auto crashes = thread_.shared.control.suspects().crashes(fingerprint_, clock::now());
        return crashes >= suspect_table::crash_limit;
    }

    /// Finds out whether an engine crashed under the request, and counts it.
    task<void> check_for_crash(const upstream_view& engine) {
        constexpr std::uint64_t health_page_limit = 65'536;
        http_connection connection{co_await asio::this_coro::executor, engine.address, health_page_limit};
        http_request question{http::verb::get, "/health", 11};
        const auto asked_at = clock::now();
        auto alive = co_await connection.exchange(std::move(question), crash_check_timeout);
        const bool is_silent = clock::now() - asked_at >= crash_check_timeout;
        // Only a refused connection shows that the engine's process has ended: a
        // frozen one is silent, and a network may reset what it had accepted.
        if (alive.has_value() || is_silent || alive.error().step != "connect") {
            co_return;
        }
        const auto crash_id = short_hash(hash64(random_id()));
        const auto crashes =
            thread_.shared.control.suspects().record_crash(fingerprint_, crash_id, clock::now());
        thread_.shared.control.report_contact(engine.hash, false);
        admission_.is_suspect = true;
        log_warn("upstream_crashed", {{"request", from_.request_id()},
                                      {"upstream", engine.name},
                                      {"crashes", std::to_string(crashes)}});
    }

    /// Engine that the caller's hint names, if it still runs as it did.
    std::optional<std::uint64_t> context_holder() const {
        const auto hint = parse_placement_hint(request_[hint_field]);
        const auto upstreams = view_->upstreams.find(admission_.service);
        if (!policy_->hints || !hint || hint->chat != admission_.placement.chat ||
            upstreams == view_->upstreams.end()) {
            return std::nullopt;
        }
        const auto found = std::ranges::find(upstreams->second, hint->upstream, &upstream_view::hash);
        const bool same = found != upstreams->second.end() &&
                          (found->incarnation == hint->incarnation || found->incarnation == 0);
        return same ? std::optional{hint->upstream} : std::nullopt;
    }

    /// The refusal as it must read after earlier attempts that may have run.
    problem final_problem(problem last) const {
        if (maybe_run_) {
            last.status = 502;
            last.type = "upstream-failed";
            last.result = outcome::unknown;
            last.detail = to_text(last_error_);
        }
        return last;
    }

    task<void> refuse(problem why) {
        thread_.shared.counters.count_request(admission_.service, why.result, why.type);
        log_info("request_refused", {{"request", from_.request_id()},
                                     {"service", admission_.service},
                                     {"team", admission_.team},
                                     {"type", std::string{why.type}},
                                     {"outcome", std::string{to_text(why.result)}},
                                     {"detail", why.detail}});
        co_await from_.refuse(std::move(why));
    }

    http_request upstream_request() const {
        http_request forwarded{http::verb::post, "/v1/chat/completions", 11};
        forwarded.set(http::field::content_type, "application/json");
        forwarded.set(request_id_field, from_.request_id());
        forwarded.set(load_report_format_header, "JSON");
        if (const auto priority = request_["Priority"]; !priority.empty()) {
            forwarded.set("Priority", priority);
        }
        forwarded.body() = request_.body();
        return forwarded;
    }

    task<attempt_end> attempt_on(const admitted_request& admitted) {
        const upstream_view& engine = admitted.upstream;
        auto connection = thread_.pool.acquire(engine.address, clock::now());
        const auto end = co_await exchange(*connection, engine);
        from_.on_disconnect(nullptr);
        if (end == attempt_end::failed) {
            co_await check_for_crash(engine);
        }
        thread_.pool.release(std::move(connection), clock::now());
        thread_.shared.admitter.request_ended(admission_.service);
        co_return end;
    }

    /// Sends the request and reads the header of the answer.
    task<io_result<void>> open_answer(upstream_connection& connection, http_request forwarded) {
        auto connected = co_await connection.connect(policy_->connect_timeout);
        if (connected.has_error()) {
            co_return connected.error();
        }
        from_.on_disconnect([&connection] { connection.close(); });
        auto sent = co_await connection.send(std::move(forwarded), policy_->first_byte_timeout);
        if (sent.has_error()) {
            co_return sent.error();
        }
        const auto limit =
            chat_.stream ? std::nullopt : std::optional<std::uint64_t>{thread_.shared.settings.answer_bytes};
        co_return co_await connection.read_header(limit, policy_->first_byte_timeout);
    }

    task<attempt_end> exchange(upstream_connection& connection, const upstream_view& engine) {
        auto forwarded = upstream_request();
        auto opened = co_await open_answer(connection, std::move(forwarded));
        if (opened.has_error()) {
            co_return note_failure(engine, opened.error());
        }
        take_load_report(connection, engine);
        if (!is_own_answer(connection)) {
            connection.close();
            co_return note_failure(engine,
                                   {"check answer", engine.name, "it belongs to another request", true});
        }
        if (connection.status() == 503) {
            auto refusal = co_await connection.read_all(policy_->idle_timeout);
            const std::string detail =
                "it refuses new work " + (refusal.has_value() ? *refusal : std::string{});
            co_return note_failure(engine, {"ask upstream", engine.name, detail, false});
        }
        const auto type = connection.header()[http::field::content_type];
        if (connection.status() == 200 && type.starts_with("text/event-stream")) {
            co_return co_await relay_stream(connection, engine);
        }
        co_return co_await relay_whole(connection, engine);
    }

    attempt_end note_failure(const upstream_view& engine, const failure& error) {
        last_error_ = error;
        if (from_.disconnected()) {
            note_hang_up();
            return attempt_end::answered;
        }
        if (error.step == "connect") {
            thread_.shared.control.report_contact(engine.hash, false);
        }
        log_warn("attempt_failed", {{"request", from_.request_id()},
                                    {"upstream", engine.name},
                                    {"step", error.step},
                                    {"peer", error.peer},
                                    {"detail", error.detail},
                                    {"may_have_run", error.may_have_taken_effect ? "yes" : "no"}});
        return error.may_have_taken_effect ? attempt_end::failed : attempt_end::not_run;
    }

    void note_hang_up() {
        from_.close_after_response();
        thread_.shared.counters.count_request(admission_.service, outcome::unknown, "caller-gone");
        log_info("caller_gone", {{"request", from_.request_id()}, {"service", admission_.service}});
    }

    void take_load_report(const upstream_connection& connection, const upstream_view& engine) {
        if (const auto report = parse_load_report(connection.header()[load_report_header])) {
            thread_.shared.control.report_load(engine.hash, report->in_flight, report->incarnation,
                                               report->leaving);
        }
    }

    bool is_own_answer(const upstream_connection& connection) const {
        const auto echoed = connection.header()[request_id_field];
        return echoed.empty() || echoed == from_.request_id();
    }

    header_fields answer_headers(const upstream_view& engine) const {
        header_fields fields{{"Citronwick-Upstream", engine.name}};
        if (policy_->hints) {
            fields.emplace_back(hint_field, to_text(placement_hint{admission_.placement.chat, engine.hash,
                                                                   engine.incarnation}));
        }
        return fields;
    }

    task<attempt_end> relay_whole(upstream_connection& connection, const upstream_view& engine) {
        auto body = co_await connection.read_all(policy_->first_byte_timeout);
        if (body.has_error()) {
            co_return note_failure(engine, body.error());
        }
        constexpr unsigned server_errors = 500;
        if (connection.status() >= server_errors) {
            const std::string status = "status " + std::to_string(connection.status());
            co_return note_failure(engine, {"ask upstream", engine.name, status, true});
        }
        count_tokens(*body);
        complete_response whole{.status = connection.status(),
                                .content_type = std::string{connection.header()[http::field::content_type]},
                                .body = std::move(*body),
                                .headers = answer_headers(engine)};
        co_await from_.respond(std::move(whole));
        note_complete(engine);
        co_return attempt_end::answered;
    }

    void note_complete(const upstream_view& engine) {
        thread_.shared.counters.count_request(admission_.service, outcome::complete, "answered");
        log_debug("request_complete", {{"request", from_.request_id()}, {"upstream", engine.name}});
    }

    /// Relays whole events as they arrive; resumes a stream that is cut.
    task<attempt_end> relay_stream(upstream_connection& first, const upstream_view& engine) {
        event_splitter events;
        upstream_connection* source = &first;
        std::unique_ptr<upstream_connection> resumed;
        int resumes_left = most_resumes;
        while (!events.done()) {
            const auto patience =
                from_.response_started() ? policy_->idle_timeout : policy_->first_byte_timeout;
            auto piece = co_await source->read_some(patience);
            const bool cut = piece.has_error() || piece->empty() || events.pending_bytes() > event_limit;
            if (!cut) {
                auto whole_events = events.push(*piece);
                const bool taken = co_await forward(std::move(whole_events), engine);
                if (!taken) {
                    source->close();
                    note_hang_up();
                    co_return attempt_end::answered;
                }
                continue;
            }
            source->close();
            const failure error = piece.has_error()
                                      ? piece.error()
                                      : failure{"read answer", engine.name, "the stream ended early", true};
            if (from_.disconnected() || !from_.response_started()) {
                co_return note_failure(engine, error);
            }
            events.discard_pending();
            resumed.reset();
            if (resumes_left-- > 0) {
                const std::string& last = events.last_event_id();
                resumed = co_await resume(engine, last);
            }
            if (!resumed) {
                co_await check_for_crash(engine);
                co_await end_with_error(engine, error);
                co_return attempt_end::answered;
            }
            source = resumed.get();
        }
        co_await finish_stream(*source, engine);
        co_return attempt_end::answered;
    }

    /// @return false where the caller is gone
    task<bool> forward(std::string whole_events, const upstream_view& engine) {
        if (whole_events.empty()) {
            co_return true;
        }
        if (!from_.response_started()) {
            auto headers = answer_headers(engine);
            const bool begun = co_await from_.begin_stream(std::move(headers));
            if (!begun) {
                co_return false;
            }
        }
        if (const auto usage = whole_events.find("\"usage\":{"); usage != std::string::npos) {
            const auto line = whole_events.rfind("data: ", usage) + std::string_view{"data: "}.size();
            count_tokens(std::string_view{whole_events}.substr(line, whole_events.find('\n', line) - line));
        }
        co_return co_await from_.write_events(std::move(whole_events));
    }

    /// Asks the same engine to go on after the last event that was relayed.
    task<std::unique_ptr<upstream_connection>> resume(const upstream_view& engine,
                                                      std::string last_event_id) {
        if (last_event_id.empty()) {
            co_return nullptr;
        }
        auto connection = thread_.pool.create(engine.address);
        auto again = upstream_request();
        again.set("Last-Event-ID", last_event_id);
        auto opened = co_await open_answer(*connection, std::move(again));
        const bool resumed = opened.has_value() && connection->status() == 200 && is_own_answer(*connection);
        log_info("stream_resume", {{"request", from_.request_id()},
                                   {"upstream", engine.name},
                                   {"after_event", last_event_id},
                                   {"resumed", resumed ? "yes" : "no"}});
        co_return resumed ? std::move(connection) : nullptr;
    }

    task<void> finish_stream(upstream_connection& source, const upstream_view& engine) {
        auto rest = co_await source.read_all(policy_->idle_timeout);
        const bool sent = co_await from_.end_stream(outcome::complete);
        if (sent && rest.has_value()) {
            note_complete(engine);
        } else {
            note_hang_up();
        }
    }

    /// Ends a stream that cannot be completed, so that it cannot pass for whole.
    task<void> end_with_error(const upstream_view& engine, const failure& error) {
        const problem why{502, "stream-cut", to_text(error), outcome::unknown};
        from_.close_after_response();
        thread_.shared.counters.count_request(admission_.service, outcome::unknown, why.type);
        log_warn("stream_cut",
                 {{"request", from_.request_id()}, {"upstream", engine.name}, {"detail", why.detail}});
        std::string event = "event: error\ndata: " + to_json(why, from_.request_id()) + "\n\n";
        const bool written = co_await from_.write_events(std::move(event));
        if (written) {
            co_await from_.end_stream(outcome::unknown);
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
    caller& from_;
    const http_request& request_;
    std::shared_ptr<const fleet_view> view_;
    chat_request chat_;
    const preset* policy_ = nullptr;
    admission_request admission_;
    std::uint64_t fingerprint_ = 0;
    failure last_error_;
    bool maybe_run_ = false;
};

} // namespace

task<void> serve_chat(thread_context& thread, caller& from, const http_request& request) {
    chat_exchange exchange{thread, from, request};
    co_await exchange.run();
}

} // namespace citronwick
