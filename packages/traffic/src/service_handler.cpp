#include "citronwick/traffic/service_handler.hpp"

#include "citronwick/control/claim_registry.hpp"
#include "citronwick/control/control_plane.hpp"
#include "citronwick/control/load_report.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/traffic/authentication.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/traffic_context.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view path_prefix = "/services/";
constexpr std::string_view service_policy = "least_loaded";
constexpr const char* key_field = "Idempotency-Key";
constexpr int most_attempts = 3;
constexpr std::size_t key_limit = 256;
constexpr time_point any_time = time_point::max();

/// Header fields that are passed on to a plain service.
constexpr std::array forwarded_fields{"Content-Type", "Accept", "Accept-Language", "If-Match",
                                      "If-None-Match"};

/// How sending a request once has ended.
struct delivery {
    std::shared_ptr<const recorded_answer> answer{}; ///< null on failure
    failure error{};
    std::uint64_t upstream = 0;
    std::string upstream_name{};
};

/// One call of a plain service on its way there and back.
class service_exchange {
public:
    service_exchange(thread_context& thread, caller& from, const http_request& request)
        : thread_{thread}, from_{from}, request_{request}, view_{thread.shared.control.view()} {}

    task<void> run() {
        if (auto refusal = prepare()) {
            co_await refuse(std::move(*refusal));
        } else if (repeatable_) {
            co_await run_repeatable();
        } else if (key_.empty()) {
            co_await run_once();
        } else {
            co_await run_claimed();
        }
    }

private:
    std::optional<problem> prepare() {
        if (!view_->config) {
            return problem{503, "no-configuration", "no configuration is in force yet", outcome::not_run, 2s};
        }
        const declaration& declared = view_->config->declared;
        const team* const customer = authenticate(declared, request_[http::field::authorization]);
        if (customer == nullptr) {
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
        policy_ = &view_->config->active;
        const std::string method{request_.method_string()};
        repeatable_ = std::ranges::find(target_->repeatable, method) != target_->repeatable.end();
        admission_ = {.service = target_->name,
                      .team = customer->name,
                      .team_weight = customer->weight,
                      .placement = {hash64(from_.request_id())},
                      .policy = service_policy,
                      .request_id = from_.request_id(),
                      .chat = "-"};
        return repeatable_ ? std::nullopt : find_key();
    }

    /// Finds the key of a request that must not run twice.
    std::optional<problem> find_key() {
        key_ = request_[key_field];
        if (key_.empty() && !target_->key_pointer.empty()) {
            key_ = key_in_body();
        }
        if (key_.size() > key_limit) {
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

    /// Digest of all that makes a resend the same request.
    std::string fingerprint() const {
        return sha256_hex(admission_.team + "\n" + std::string{request_.method_string()} + "\n" + path_ +
                          "\n" + request_.body());
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

    task<void> reply(const recorded_answer& answer, header_fields headers) {
        thread_.shared.counters.count_request(admission_.service, outcome::complete, "answered");
        whole_answer whole{.status = answer.status,
                           .content_type = answer.content_type,
                           .body = answer.body,
                           .headers = std::move(headers)};
        co_await from_.answer(std::move(whole));
    }

    task<void> reply_from(const delivery& sent) {
        header_fields headers;
        headers.emplace_back("Citronwick-Upstream", sent.upstream_name);
        co_await reply(*sent.answer, std::move(headers));
    }

    static problem failed_delivery(const failure& error) {
        if (error.may_have_taken_effect) {
            return {502, "outcome-unknown", to_text(error), outcome::unknown};
        }
        return {503, "upstreams-failed", to_text(error), outcome::not_run, 1s};
    }

    /// What the caller is told where there is no answer.
    static problem refusal_of(const boost::system::result<delivery, problem>& sent) {
        if (sent.has_error()) {
            return sent.error();
        }
        return failed_delivery(sent->error);
    }

    task<void> run_repeatable() {
        thread_.retries.record_request(policy_->retry_share);
        failure last;
        bool may_have_run = false;
        for (int attempt = 0; attempt < most_attempts; ++attempt) {
            auto sent = co_await deliver(any_time);
            if (sent.has_error()) {
                auto why = sent.error();
                co_await refuse(std::move(why));
                co_return;
            }
            if (sent->answer) {
                co_await reply_from(*sent);
                co_return;
            }
            last = sent->error;
            may_have_run = may_have_run || last.may_have_taken_effect;
            admission_.excluded.push_back(sent->upstream);
            if (from_.hung_up() || !thread_.retries.take_retry()) {
                break;
            }
            thread_.shared.counters.count_retry(admission_.service);
        }
        last.may_have_taken_effect = may_have_run;
        auto why = failed_delivery(last);
        co_await refuse(std::move(why));
    }

    /// Sends a request that must not run twice. Another upstream is tried only
    /// where certainly no byte of the request has left.
    task<boost::system::result<delivery, problem>> deliver_once(time_point not_after) {
        while (true) {
            auto sent = co_await deliver(not_after);
            if (sent.has_error() || sent->answer || sent->error.may_have_taken_effect ||
                sent->error.step != "connect") {
                co_return sent;
            }
            admission_.excluded.push_back(sent->upstream);
            if (admission_.excluded.size() >= most_attempts) {
                co_return sent;
            }
        }
    }

    task<void> run_once() {
        auto sent = co_await deliver_once(any_time);
        if (sent.has_error()) {
            auto why = sent.error();
            co_await refuse(std::move(why));
        } else if (sent->answer) {
            co_await reply_from(*sent);
        } else {
            auto why = failed_delivery(sent->error);
            co_await refuse(std::move(why));
        }
    }

    task<void> run_claimed() {
        claim_key_ = admission_.team + "/" + key_;
        auto claim = co_await ask_for_claim();
        log_info("claim", {{"request", from_.request_id()},
                           {"service", admission_.service},
                           {"team", admission_.team},
                           {"verdict", verdict_names.at(static_cast<std::size_t>(claim.verdict))},
                           {"detail", claim.detail.empty() ? "-" : claim.detail}});
        const bool unclaimed = claim.verdict == claim_verdict::refused && target_->deduplicates;
        if (claim.verdict == claim_verdict::granted || unclaimed) {
            const auto not_after = unclaimed ? time_point::max() : claim.valid_until;
            co_await send_claimed(not_after);
        } else if (claim.verdict == claim_verdict::answered) {
            header_fields headers;
            headers.emplace_back("Citronwick-Replayed", "yes");
            co_await reply(*claim.answer, std::move(headers));
        } else {
            auto why = explain(claim);
            co_await refuse(std::move(why));
        }
    }

    static constexpr std::array verdict_names{"granted", "answered", "in progress",
                                              "unknown", "mismatch", "refused"};

    static problem explain(const claim_result& claim) {
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

    task<claim_result> ask_for_claim() {
        auto& control = thread_.shared.control;
        const auto executor = co_await asio::this_coro::executor;
        auto asking = control.claims().claim(admission_.service, claim_key_, fingerprint(), clock::now());
        const auto control_executor = control.executor();
        auto claim = co_await asio::co_spawn(control_executor, std::move(asking), asio::use_awaitable);
        co_await asio::post(executor, asio::use_awaitable);
        co_return claim;
    }

    task<void> send_claimed(time_point not_after) {
        auto sent = co_await deliver_once(not_after);
        const bool certain = sent.has_error() || (!sent->answer && !sent->error.may_have_taken_effect);
        if (certain) {
            co_await release_claim();
            auto why = refusal_of(sent);
            co_await refuse(std::move(why));
            co_return;
        }
        record(sent->answer);
        if (sent->answer) {
            co_await reply_from(*sent);
        } else {
            auto why = failed_delivery(sent->error);
            co_await refuse(std::move(why));
        }
    }

    task<void> release_claim() {
        auto& control = thread_.shared.control;
        const auto executor = co_await asio::this_coro::executor;
        auto releasing = control.claims().release(admission_.service, claim_key_);
        const auto control_executor = control.executor();
        co_await asio::co_spawn(control_executor, std::move(releasing), asio::use_awaitable);
        co_await asio::post(executor, asio::use_awaitable);
    }

    /// Tells the control thread what a resend should be told.
    void record(const std::shared_ptr<const recorded_answer>& answer) {
        auto& control = thread_.shared.control;
        asio::post(control.executor(), [&control, service = admission_.service, key = claim_key_, answer] {
            if (answer) {
                control.claims().record_answer(service, key, answer, clock::now());
            } else {
                control.claims().record_unknown(service, key);
            }
        });
    }

    http_request upstream_request() const {
        http_request forwarded{request_.method(), path_, 11};
        for (const char* const field : forwarded_fields) {
            if (const auto value = request_[field]; !value.empty()) {
                forwarded.set(field, value);
            }
        }
        forwarded.set("X-Request-Id", from_.request_id());
        forwarded.set("Citronwick-Team", admission_.team);
        forwarded.set(load_report_format_header, "JSON");
        if (!key_.empty()) {
            forwarded.set(key_field, key_);
        }
        forwarded.body() = request_.body();
        return forwarded;
    }

    /// Sends the request to one upstream.
    /// @param not_after instant from which nothing may be sent any more
    task<boost::system::result<delivery, problem>> deliver(time_point not_after) {
        auto admitted = co_await thread_.shared.admitter.admit(admission_);
        if (admitted.has_error()) {
            co_return admitted.error();
        }
        const upstream_view& upstream = admitted->upstream;
        auto connection = repeatable_ ? thread_.pool.take(upstream.address, clock::now())
                                      : thread_.pool.take_new(upstream.address);
        delivery result{.upstream = upstream.hash, .upstream_name = upstream.name};
        auto answer = co_await exchange(*connection, not_after);
        if (answer.has_error()) {
            result.error = answer.error();
            log_failure("attempt_failed", result.error);
            if (result.error.step == "connect") {
                thread_.shared.control.report_contact(upstream.hash, false);
            }
        } else {
            result.answer = std::make_shared<const recorded_answer>(std::move(*answer));
            thread_.pool.give_back(std::move(connection), clock::now());
        }
        thread_.shared.admitter.request_ended(admission_.service);
        co_return result;
    }

    task<io_result<recorded_answer>> exchange(upstream_connection& connection, time_point not_after) {
        auto connected = co_await connection.connect(policy_->connect_timeout);
        if (connected.has_error()) {
            co_return connected.error();
        }
        if (clock::now() >= not_after) {
            co_return failure{"check claim", to_text(connection.peer()), "the claim's lease has ended",
                              false};
        }
        auto forwarded = upstream_request();
        auto sent = co_await connection.send(std::move(forwarded), policy_->first_byte_timeout);
        if (sent.has_error()) {
            co_return sent.error();
        }
        auto header = co_await connection.read_header(thread_.shared.settings.answer_bytes,
                                                      policy_->first_byte_timeout);
        if (header.has_error()) {
            co_return header.error();
        }
        const auto echoed = connection.header()["X-Request-Id"];
        if (!echoed.empty() && echoed != from_.request_id()) {
            connection.close();
            co_return failure{"check answer", to_text(connection.peer()), "it belongs to another request",
                              true};
        }
        auto body = co_await connection.read_all(policy_->idle_timeout);
        if (body.has_error()) {
            co_return body.error();
        }
        co_return recorded_answer{connection.status(),
                                  std::string{connection.header()[http::field::content_type]},
                                  std::move(*body)};
    }

    thread_context& thread_;
    caller& from_;
    const http_request& request_;
    std::shared_ptr<const fleet_view> view_;
    const service* target_ = nullptr;
    const preset* policy_ = nullptr;
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
