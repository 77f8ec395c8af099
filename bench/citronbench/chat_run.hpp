#ifndef CITRONWICK_BENCH_CHAT_RUN_HPP_INCLUDED
#define CITRONWICK_BENCH_CHAT_RUN_HPP_INCLUDED

#include "arm_figures.hpp"
#include "chat_population.hpp"
#include "citronwick/io/http_connection.hpp"
#include "experiment.hpp"
#include "fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>

namespace citronwick::bench {

/// Drives returning chats through a fleet and measures one arm.
class chat_run {
public:
    chat_run(const experiment& plan, const arm_shape& arm, harness::fleet& system);

    arm_figures run();

private:
    /// How one answer ended.
    struct answer_end {
        unsigned status = 0;
        bool whole = false;
        std::string upstream;
        std::string hint;
        std::string outcome;
        double cached_tokens = 0.0;
        double first_token_ms = 0.0;
        double between_tokens_ms = 0.0;
    };

    task<void> generate();
    task<void> make_request(planned_request request, endpoint router);
    task<answer_end> exchange(const planned_request& request, endpoint router);
    task<void> sample_skew();
    task<void> sample_engine(std::shared_ptr<http_connection> connection, double& load);
    task<void> churn();
    void crash_engine();
    void return_engine();
    void record(const planned_request& request, const answer_end& end);
    bool measuring() const;

    const experiment& plan_;
    const arm_shape& arm_;
    harness::fleet& system_;
    asio::io_context context_{1};
    chat_population population_;
    std::mt19937_64 random_;
    std::chrono::steady_clock::time_point started_;
    std::chrono::steady_clock::time_point measured_from_;
    std::chrono::steady_clock::time_point ends_;
    arm_figures figures_;
    std::size_t next_victim_ = 0;
};

} // namespace citronwick::bench

#endif
