#ifndef CITRONWICK_TESTS_STANDIN_ENGINE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_ENGINE_HPP_INCLUDED

#include "prefix_cache.hpp"
#include "standin_server.hpp"

#include <map>
#include <set>
#include <string>

namespace citronwick::standin {

/// Speeds and sizes of an engine.
struct engine_settings {
    std::size_t cache_tokens = 400'000;
    std::chrono::microseconds prefill_per_token{50};
    std::chrono::microseconds decode_per_token{2'000};
    std::size_t slots = 16; ///< requests that run at once; others wait
    std::chrono::milliseconds report_lag{250};
};

/// Stand-in of a model engine: streams answers in the OpenAI format, has a
/// prefix cache that decides the prefill time, slows with its batch, reports
/// its load with a lag, and fails on order.
class engine {
public:
    engine(asio::io_context& context, const std::string& ip, const engine_settings& settings);

    endpoint address() const { return server_.address(); }

private:
    /// Faults that a test switches on through POST /standin/fault.
    struct faults {
        std::string crash_on;              ///< text of a request that ends the process
        std::int64_t cut_after_events = 0; ///< streams are cut after so many events, 0 for never
        std::int64_t cuts = 0;             ///< streams still to cut
        bool freeze = false;               ///< nothing is answered
        bool stall = false;                ///< streams fall silent after their first event
        bool refuse = false;               ///< new work gets status 503
        bool wrong_id = false;             ///< answers carry another request's identifier
    };

    /// One answer being generated.
    struct generation {
        std::string id;
        std::string prompt;
        std::int64_t tokens = 16;
        std::int64_t next = 1; ///< first event to send
        bool stream = false;
        std::size_t prompt_tokens = 0;
        std::size_t cached_tokens = 0;
    };

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> complete(boost::beast::tcp_stream& stream, http_request request);
    task<bool> run(boost::beast::tcp_stream& stream, generation& work);
    task<bool> wait_for_slot(boost::beast::tcp_stream& stream);
    task<bool> prefill(boost::beast::tcp_stream& stream, generation& work);
    task<bool> stream_answer(boost::beast::tcp_stream& stream, generation& work);
    task<bool> whole_answer(boost::beast::tcp_stream& stream, generation& work);
    task<bool> decode_step(boost::beast::tcp_stream& stream) const;
    task<void> report_loop();
    task<bool> set_fault(boost::beast::tcp_stream& stream, const std::string& body);
    task<bool> stats(boost::beast::tcp_stream& stream);
    std::string load_report() const;
    std::string shown_id(const generation& work) const;

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
    std::int64_t probes_ = 0;
    std::size_t prompt_tokens_ = 0;
    std::size_t cached_tokens_ = 0;
    std::map<std::string, generation> known_; ///< answers that can be resumed
    standin_server server_;
};

} // namespace citronwick::standin

#endif
