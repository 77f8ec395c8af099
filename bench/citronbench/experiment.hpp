#ifndef CITRONWICK_BENCH_EXPERIMENT_HPP_INCLUDED
#define CITRONWICK_BENCH_EXPERIMENT_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace citronwick::bench {

/// Load of returning chats. The same seed makes the same load.
struct load_shape {
    double requests_per_second = 40.0;
    std::uint32_t chats = 300;             ///< chats that return
    double popularity = 0.8;               ///< exponent of their Zipf distribution
    std::uint32_t first_prompt = 4'000;    ///< characters of a chat's first prompt
    std::uint32_t growth = 800;            ///< characters that a turn adds
    std::uint32_t longest_prompt = 16'000; ///< a longer chat starts anew
    double heavy_share = 0.1;              ///< requests that bring a long file
    std::uint32_t heavy_prompt = 40'000;   ///< characters of such a file
    std::uint32_t tokens = 60;             ///< mean length of an answer
    bool echo_hints = true;                ///< callers return their placement hints
    double surge = 1.0;                    ///< factor on the rate of the first team
};

/// Kinds of engine churn, in turn.
struct churn_shape {
    std::chrono::milliseconds interval{0}; ///< 0 for none
    std::vector<std::string> kinds{"crash", "return"};
};

/// One arm: a policy under the experiment's load.
struct arm_shape {
    std::string name;
    std::string preset; ///< lines of the preset
    std::string fleet;  ///< lines of the routers' table [fleet]
    bool echo_hints = true;
};

/// An experiment as its TOML file describes it.
struct experiment {
    std::string name;
    std::string kind = "chats"; ///< "chats", "latency" or "slopes"
    std::uint32_t seed = 1;
    std::chrono::milliseconds warm_up{5'000};
    std::chrono::milliseconds duration{20'000};
    std::uint32_t routers = 6;
    std::uint32_t engines = 10;
    std::uint32_t teams = 0; ///< teams of the declaration, 0 for the usual ones
    bool shared_engines = false;
    std::vector<std::string> engine_arguments{};
    load_shape load;
    churn_shape churn;
    std::vector<arm_shape> arms{};
};

/// Reads a file of experiments.
result<std::vector<experiment>> read_experiments(const std::string& file);

} // namespace citronwick::bench

#endif
