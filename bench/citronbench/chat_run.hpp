#ifndef CITRONWICK_BENCH_CHAT_RUN_HPP_INCLUDED
#define CITRONWICK_BENCH_CHAT_RUN_HPP_INCLUDED

#include "arm_results.hpp"
#include "chat_population.hpp"
#include "citronwick/io/http_connection.hpp"
#include "experiment.hpp"
#include "fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>

namespace citronwick::bench {

/// Runs one arm: sends the chats' requests to a fleet and measures the responses.
class chat_run {
public:
    chat_run(const experiment& plan, const arm_settings& arm, harness::fleet& fleet);

    /// Runs the load to its end and returns the measurements.
    arm_results run();

private:
    /// Result of one request.
    struct response_result {
        unsigned status = 0;
        bool complete = false;
        std::string upstream;
        std::string hint;
        std::string outcome;
        double cached_tokens = 0.0;
        double first_token_ms = 0.0;
        double between_tokens_ms = 0.0;
    };

    task<void> generate_load();
    task<void> run_request(planned_request request, endpoint router);
    task<response_result> exchange(const planned_request& request, endpoint router);
    task<void> sample_skew();
    task<void> sample_engine(std::shared_ptr<http_connection> connection, double& load);
    task<void> churn();
    void crash_engine();
    void retire_engine();
    void record(const planned_request& request, const response_result& response);
    bool is_measuring() const;

    const experiment& plan_;
    const arm_settings& arm_;
    harness::fleet& fleet_;
    asio::io_context context_{1};
    chat_population population_;
    std::mt19937_64 random_;
    std::chrono::steady_clock::time_point start_time_;
    std::chrono::steady_clock::time_point measurement_start_;
    std::chrono::steady_clock::time_point measurement_end_;
    arm_results results_;
};

} // namespace citronwick::bench

#endif
