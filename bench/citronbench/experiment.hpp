#ifndef CITRONWICK_BENCH_EXPERIMENT_HPP_INCLUDED
#define CITRONWICK_BENCH_EXPERIMENT_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace citronwick::bench {

/// Load of chats that send several requests each. It is reproducible from the seed.
struct load_profile {
    double requests_per_second = 40.0;
    std::uint32_t chats = 300;             ///< number of chats
    double popularity = 0.8;               ///< exponent of the Zipf distribution of requests over chats
    std::uint32_t first_prompt = 4'000;    ///< characters of a chat's first prompt
    std::uint32_t growth = 800;            ///< characters that each turn adds
    std::uint32_t longest_prompt = 16'000; ///< a chat with a longer prompt is replaced by a new one
    double heavy_share = 0.1;              ///< share of requests that include a long file
    std::uint32_t heavy_prompt = 40'000;   ///< characters of such a file
    std::uint32_t tokens = 60;             ///< mean length of a response
    bool echo_hints = true;                ///< callers send back the placement hints they received
    double surge = 1.0;                    ///< factor applied to the request rate of the first team
};

/// Replacement of engines during a run. The kinds alternate.
struct churn_profile {
    std::chrono::milliseconds interval{0}; ///< 0 for no churn
    std::vector<std::string> kinds{"crash", "return"};
};

/// Settings of one arm: the placement policy to compare under the experiment's load.
struct arm_settings {
    std::string name;
    std::string preset; ///< settings of the preset, in TOML
    std::string fleet;  ///< settings of the routers' table [fleet], in TOML
    bool echo_hints = true;
};

/// An experiment as described in a TOML file.
struct experiment {
    std::string name;
    std::string kind = "chats"; ///< "chats", "latency" or "slopes"
    std::uint32_t seed = 1;
    std::chrono::milliseconds warm_up{5'000};
    std::chrono::milliseconds duration{20'000};
    std::uint32_t routers = 6;
    std::uint32_t engines = 10;
    std::uint32_t teams = 0; ///< number of teams to declare, 0 for the default declaration
    bool shared_engines = false;
    std::vector<std::string> engine_arguments{};
    load_profile load;
    churn_profile churn;
    std::vector<arm_settings> arms{};
};

/// Reads the experiments from a TOML file.
result<std::vector<experiment>> read_experiments(const std::string& file);

} // namespace citronwick::bench

#endif
