#ifndef CITRONWICK_TESTS_STANDIN_ENGINE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_ENGINE_HPP_INCLUDED

#include "prefix_cache.hpp"
#include "standin_server.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace citronwick::standin {

/// Latencies and capacities of an engine.
struct engine_settings {
    std::size_t cache_tokens = 400'000;
    std::chrono::microseconds prefill_per_token{50};
    std::chrono::microseconds decode_per_token{2'000};
    std::size_t slots = 16; ///< maximum of concurrent requests; others wait
    std::chrono::milliseconds report_lag{250};
};

/// Stand-in for a model engine with an OpenAI-compatible API. Its prefix cache
/// determines the prefill time, decoding slows down with the batch size, and
/// load reports lag. Tests inject faults through POST /standin/fault.
class engine {
public:
    engine(asio::io_context& context, const std::string& ip, const engine_settings& settings);

    endpoint address() const { return server_.address(); }

private:
    /// Faults set by POST /standin/fault.
    struct faults {
        std::string crash_on;                        ///< the process exits if a prompt contains this text
        std::int64_t cut_after_events = 0;           ///< events before a stream is cut
        std::int64_t remaining_cuts = 0;             ///< number of streams still to cut
        bool freeze = false;                         ///< requests get no response
        bool stall = false;                          ///< streams stop after their first event but stay open
        bool refuse = false;                         ///< completion requests get status 503
        bool wrong_id = false;                       ///< responses carry another request's identifier
        bool compact_events = false;                 ///< events without the optional spaces
        bool begin_anew = false;                     ///< resumed streams begin with their first event
        bool resume_unknown = false;                 ///< streams of other processes go on, with other tokens
        std::chrono::milliseconds unframed_pause{0}; ///< within responses without length or chunks, if any
    };

    /// A completion in progress.
    struct completion {
        std::string id;
        std::string prompt;
        std::int64_t tokens = 16;
        std::int64_t next = 1; ///< number of the next event to send
        bool stream = false;
        std::size_t prompt_tokens = 0;
        std::size_t cached_tokens = 0;
    };

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> handle_completion(boost::beast::tcp_stream& stream, http_request request);
    bool find_position(std::string_view last_event_id, completion& job);
    task<bool> run(boost::beast::tcp_stream& stream, completion& job);
    task<bool> wait_for_slot(boost::beast::tcp_stream& stream);
    task<bool> prefill(boost::beast::tcp_stream& stream, completion& job);
    task<bool> stream_completion(boost::beast::tcp_stream& stream, completion& job);
    task<bool> send_completion(boost::beast::tcp_stream& stream, completion& job);
    task<bool> decode_step(boost::beast::tcp_stream& stream) const;
    task<void> report_loop();
    task<bool> set_faults(boost::beast::tcp_stream& stream, const std::string& body);
    task<bool> stats(boost::beast::tcp_stream& stream);
    std::string load_report() const;
    std::string response_id(const completion& job) const;

    engine_settings settings_;
    double start_time_;
    prefix_cache cache_;
    faults faults_;
    bool draining_ = false;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::size_t reported_running_ = 0;
    std::size_t reported_waiting_ = 0;
    std::int64_t runs_ = 0;
    std::int64_t cancelled_ = 0;
    std::int64_t completed_ = 0;
    std::int64_t resumed_ = 0;
    std::int64_t events_ = 0; ///< sent, without the last one of each stream
    std::int64_t probes_ = 0;
    std::size_t prompt_tokens_ = 0;
    std::size_t cached_tokens_ = 0;
    std::map<std::string, completion> resumable_; ///< streams that can be resumed, by request id
    standin_server server_;
};

} // namespace citronwick::standin

#endif
