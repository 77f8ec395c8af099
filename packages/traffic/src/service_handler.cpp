#include "citronwick/traffic/service_handler.hpp"

#include "await_on.hpp"
#include "citronwick/control/claim_registry.hpp"
#include "citronwick/control/control_plane.hpp"
#include "citronwick/control/load_report.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/policy/attempt_policy.hpp"
#include "citronwick/traffic/authentication.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/traffic_context.hpp"

#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view path_prefix = "/services/";
constexpr std::string_view placement_policy_name = "least_loaded";
constexpr const char* idempotency_key_header = "Idempotency-Key";
constexpr int max_attempts = 3;
constexpr std::size_t max_key_bytes = 256;
constexpr time_point no_deadline = time_point::max();

/// Request headers that are forwarded to a plain service.
constexpr std::array forwarded_headers{"Content-Type", "Accept", "Accept-Language", "If-Match",
                                       "If-None-Match"};

/// Result of sending a request to an upstream.
struct delivery_result {
    std::shared_ptr<const recorded_response> response{}; ///< null on failure
    failure error{};
    std::uint64_t upstream = 0;
    std::string upstream_name{};
};

/// Serves one request to a plain service.
class service_exchange {
public:
    service_exchange(thread_context& thread, caller& from, const http_request& request)
        : thread_{thread}, caller_{from}, request_{request}, view_{thread.shared.control.view()} {}

    task<void> run() {
        if (auto refusal = prepare()) {
            co_await refuse(std::move(*refusal));
        } else if (repeatable_) {
            co_await serve_repeatable();
        } else if (key_.empty()) {
            co_await serve_without_key();
        } else {
            co_await serve_with_key();
        }
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
        const std::string_view rest = std::string_view{request_.target()}.substr(path_prefix.size());
        const std::string_view name = rest.substr(0, rest.find_first_of("/?"));
        target_ = declared.find_service(name);
        if (target_ == nullptr || target_->kind != service_kind::plain) {
            return problem{404, "unknown-service", "there is no plain service \"" + std::string{name} + "\""};
        }
        path_ = rest.substr(name.size());
        path_ = path_.starts_with('/') ? path_ : "/" + path_;
        preset_ = &view_->config->active;
        const std::string method{request_.method_string()};
        repeatable_ = std::ranges::find(target_->repeatable, method) != target_->repeatable.end();
        admission_ = {.service = target_->name,
                      .team = caller_team->name,
                      .team_weight = caller_team->weight,
                      .placement = {hash64(caller_.request_id())},
                      .policy = placement_policy_name,
                      .request_id = caller_.request_id(),
                      .chat_id = "-"};
        return repeatable_ ? std::nullopt : find_key();
    }

    /// Reads the idempotency key of a request that must not run twice.
    /// @return the refusal, if the key is missing or too long
    std::optional<problem> find_key() {
        key_ = request_[idempotency_key_header];
        if (key_.empty() && !target_->key_pointer.empty()) {
            key_ = key_in_body();
        }
        if (key_.size() > max_key_bytes) {
            return problem{400, "bad-request", "the idempotency key is longer than 256 bytes"};
        }
        if (key_.empty() && target_->idempotency_key == key_requirement::required) {
            const std::string field =
                target_->key_pointer.empty() ? "" : " or the field " + target_->key_pointer;
            return problem{400, "key-required", "this service needs the header Idempotency-Key" + field};
        }
        return std::nullopt;
    }

    std::string key_in_body() const {
        boost::system::error_code error;
        const auto body = boost::json::parse(request_.body(), error);
        if (error) {
            return {};
        }
        const auto* const field = body.find_pointer(target_->key_pointer, error);
        if (error || field == nullptr || field->is_null() || field->is_structured()) {
            return {};
        }
        return field->is_string() ? std::string{field->as_string()} : boost::json::serialize(*field);
    }

    /// Digest of everything that must be equal for a resent request to be the same one.
    std::string fingerprint() const {
        return sha256_hex(admission_.team + "\n" + std::string{request_.method_string()} + "\n" + path_ +
                          "\n" + request_.body());
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

    task<void> reply(const recorded_response& recorded, header_fields headers) {
        thread_.shared.counters.count_request(admission_.service, outcome::complete, "answered");
        complete_response response{.status = recorded.status,
                                   .content_type = recorded.content_type,
                                   .body = recorded.body,
                                   .headers = std::move(headers)};
        co_await caller_.respond(std::move(response));
    }

    task<void> reply_from(const delivery_result& sent) {
        header_fields headers;
        headers.emplace_back("Citronwick-Upstream", sent.upstream_name);
        co_await reply(*sent.response, std::move(headers));
    }

    static problem refusal_of_failure(const failure& error) {
        if (error.may_have_taken_effect) {
            return {502, "outcome-unknown", to_text(error), outcome::unknown};
        }
        return {503, "upstreams-failed", to_text(error), outcome::not_run, 1s};
    }

    /// The refusal for a delivery that brought no response.
    static problem refusal_of_delivery(const boost::system::result<delivery_result, problem>& sent) {
        if (sent.has_error()) {
            return sent.error();
        }
        return refusal_of_failure(sent->error);
    }

    task<void> serve_repeatable() {
        thread_.retries.record_request(preset_->retry_share);
        failure last;
        bool may_have_run = false;
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            auto sent = co_await deliver(no_deadline);
            if (sent.has_error()) {
                auto refusal = sent.error();
                co_await refuse(std::move(refusal));
                co_return;
            }
            if (sent->response) {
                co_await reply_from(*sent);
                co_return;
            }
            last = sent->error;
            may_have_run = may_have_run || last.may_have_taken_effect;
            admission_.excluded.push_back(sent->upstream);
            if (caller_.disconnected() || !thread_.retries.take_retry()) {
                break;
            }
            thread_.shared.counters.count_retry(admission_.service);
        }
        last.may_have_taken_effect = may_have_run;
        auto refusal = refusal_of_failure(last);
        co_await refuse(std::move(refusal));
    }

    /// Sends a request that must not run twice. Another upstream is tried only
    /// if connecting failed, since then no byte of the request was sent.
    task<boost::system::result<delivery_result, problem>> deliver_once(time_point send_deadline) {
        while (true) {
            auto sent = co_await deliver(send_deadline);
            if (sent.has_error() || sent->response || sent->error.may_have_taken_effect ||
                sent->error.step != "connect") {
                co_return sent;
            }
            admission_.excluded.push_back(sent->upstream);
            if (admission_.excluded.size() >= max_attempts) {
                co_return sent;
            }
        }
    }

    task<void> serve_without_key() {
        auto sent = co_await deliver_once(no_deadline);
        if (sent.has_error()) {
            auto refusal = sent.error();
            co_await refuse(std::move(refusal));
        } else if (sent->response) {
            co_await reply_from(*sent);
        } else {
            auto refusal = refusal_of_failure(sent->error);
            co_await refuse(std::move(refusal));
        }
    }

    task<void> serve_with_key() {
        claim_key_ = admission_.team + "/" + key_;
        auto claim = co_await acquire_claim();
        log_info("claim", {{"request", caller_.request_id()},
                           {"service", admission_.service},
                           {"team", admission_.team},
                           {"verdict", verdict_names.at(static_cast<std::size_t>(claim.verdict))},
                           {"detail", claim.detail.empty() ? "-" : claim.detail}});
        const bool unclaimed = claim.verdict == claim_verdict::refused && target_->deduplicates;
        if (claim.verdict == claim_verdict::granted || unclaimed) {
            const auto send_deadline = unclaimed ? no_deadline : claim.valid_until;
            co_await send_claimed(send_deadline);
        } else if (claim.verdict == claim_verdict::answered) {
            header_fields headers;
            headers.emplace_back("Citronwick-Replayed", "yes");
            co_await reply(*claim.response, std::move(headers));
        } else {
            auto refusal = refusal_of_claim(claim);
            co_await refuse(std::move(refusal));
        }
    }

    static constexpr std::array verdict_names{"granted", "answered", "in progress",
                                              "unknown", "mismatch", "refused"};

    static problem refusal_of_claim(const claim_result& claim) {
        switch (claim.verdict) {
        case claim_verdict::in_progress:
            return {409, "in-progress", "a request with this key is running", outcome::unknown, 1s};
        case claim_verdict::mismatch:
            return {422, "key-reused", "the key was used with another request", outcome::not_run};
        case claim_verdict::refused:
            return {503, "no-claim", claim.detail, outcome::not_run, 2s};
        default:
            return {409, "outcome-unknown", "a request with this key was sent before; " + claim.detail,
                    outcome::unknown};
        }
    }

    task<claim_result> acquire_claim() {
        auto& control = thread_.shared.control;
        auto acquisition =
            control.claims().claim(admission_.service, claim_key_, fingerprint(), clock::now());
        auto acquired = await_on(control.executor(), std::move(acquisition));
        co_return co_await std::move(acquired);
    }

    task<void> send_claimed(time_point send_deadline) {
        auto sent = co_await deliver_once(send_deadline);
        const bool not_run = sent.has_error() || (!sent->response && !sent->error.may_have_taken_effect);
        if (not_run) {
            co_await release_claim();
            auto refusal = refusal_of_delivery(sent);
            co_await refuse(std::move(refusal));
            co_return;
        }
        record_outcome(sent->response);
        if (sent->response) {
            co_await reply_from(*sent);
        } else {
            auto refusal = refusal_of_failure(sent->error);
            co_await refuse(std::move(refusal));
        }
    }

    task<void> release_claim() {
        auto& control = thread_.shared.control;
        auto released =
            await_on(control.executor(), release_claim(control.claims(), admission_.service, claim_key_));
        co_await std::move(released);
    }

    static task<bool> release_claim(claim_registry& claims, std::string service, std::string key) {
        auto release = claims.release(std::move(service), std::move(key));
        co_await std::move(release);
        co_return true;
    }

    /// Records the outcome on the control thread, for resends of the request.
    void record_outcome(const std::shared_ptr<const recorded_response>& response) {
        auto& control = thread_.shared.control;
        asio::post(control.executor(), [&control, service = admission_.service, key = claim_key_, response] {
            if (response) {
                control.claims().record_response(service, key, response, clock::now());
            } else {
                control.claims().record_unknown(service, key);
            }
        });
    }

    http_request upstream_request() const {
        http_request forwarded{request_.method(), path_, 11};
        for (const char* const field : forwarded_headers) {
            if (const auto value = request_[field]; !value.empty()) {
                forwarded.set(field, value);
            }
        }
        forwarded.set("X-Request-Id", caller_.request_id());
        forwarded.set("Citronwick-Team", admission_.team);
        forwarded.set(load_report_format_header, "JSON");
        if (!key_.empty()) {
            forwarded.set(idempotency_key_header, key_);
        }
        forwarded.body() = request_.body();
        return forwarded;
    }

    /// Waits for an upstream and sends the request to it.
    /// @param send_deadline time at and after which the request must not be sent
    task<boost::system::result<delivery_result, problem>> deliver(time_point send_deadline) {
        auto admitted = co_await thread_.shared.admission_control.admit(admission_);
        if (admitted.has_error()) {
            co_return admitted.error();
        }
        const upstream_view& upstream = admitted->upstream;
        auto connection = repeatable_ ? thread_.pool.acquire(upstream.address, request_hash(), clock::now())
                                      : thread_.pool.create(upstream.address);
        delivery_result result{.upstream = upstream.hash, .upstream_name = upstream.name};
        auto response = co_await exchange(*connection, send_deadline);
        if (response.has_error()) {
            result.error = response.error();
            log_failure("attempt_failed", result.error);
            if (result.error.step == "connect") {
                thread_.shared.control.report_connect_result(upstream.hash, false);
            }
        } else {
            result.response = std::make_shared<const recorded_response>(std::move(*response));
            thread_.pool.release(std::move(connection), clock::now());
        }
        thread_.shared.admission_control.request_ended(admission_.service);
        co_return result;
    }

    std::uint64_t request_hash() const { return hash64(caller_.request_id()); }

    task<io_result<recorded_response>> exchange(upstream_connection& connection, time_point send_deadline) {
        auto connected = co_await connection.connect(preset_->connect_timeout);
        if (connected.has_error()) {
            co_return connected.error();
        }
        if (clock::now() >= send_deadline) {
            co_return failure{"check claim", to_text(connection.peer()), "the claim's lease has ended",
                              false};
        }
        auto forwarded = upstream_request();
        auto sent = co_await connection.send(std::move(forwarded), preset_->first_byte_timeout);
        if (sent.has_error()) {
            co_return sent.error();
        }
        auto header = co_await connection.read_header(thread_.shared.settings.answer_bytes,
                                                      preset_->first_byte_timeout);
        if (header.has_error()) {
            co_return header.error();
        }
        const auto echoed = connection.header()["X-Request-Id"];
        if (!echoed.empty() && echoed != caller_.request_id()) {
            connection.close();
            co_return failure{"check answer", to_text(connection.peer()), "it belongs to another request",
                              true};
        }
        if (echoed.empty() && reports_failure(connection.status())) {
            connection.record_unidentified_response();
        }
        auto body = co_await connection.read_complete(preset_->idle_timeout);
        if (body.has_error()) {
            co_return body.error();
        }
        co_return recorded_response{connection.status(),
                                    std::string{connection.header()[http::field::content_type]},
                                    std::move(*body)};
    }

    thread_context& thread_;
    caller& caller_;
    const http_request& request_;
    std::shared_ptr<const fleet_view> view_;
    const service* target_ = nullptr;
    const preset* preset_ = nullptr;
    std::string path_;
    std::string key_;
    std::string claim_key_;
    bool repeatable_ = false;
    admission_request admission_;
};

} // namespace

task<void> serve_service(thread_context& thread, caller& from, const http_request& request) {
    service_exchange exchange{thread, from, request};
    co_await exchange.run();
}

} // namespace citronwick
