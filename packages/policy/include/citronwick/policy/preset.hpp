#ifndef CITRONWICK_POLICY_PRESET_HPP_INCLUDED
#define CITRONWICK_POLICY_PRESET_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <string>

namespace citronwick {

/// Full set of policy values; exactly one preset is in force at any time.
struct preset {
    std::string name;
    std::string placement = "bounded_rendezvous"; ///< name of a placement plug-in
    double skew_target = 1.25;                    ///< multiple of the mean load at which an engine is skipped
    double skew_limit = 2.0;                      ///< promised multiple of the mean load
    std::uint32_t spill_width = 3;                ///< ranks among which a spill takes the least loaded
    std::uint32_t engine_concurrency = 32;        ///< requests one engine may hold
    std::uint32_t queue_length = 256;             ///< requests that may wait per service and router
    double retry_share = 0.1;                     ///< retries allowed per request sent
    bool hints = true;                            ///< callers are given placement hints
    std::chrono::milliseconds queue_timeout{2'000};
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds first_byte_timeout{20'000};
    std::chrono::milliseconds idle_timeout{5'000}; ///< longest silence within an answer
    std::chrono::milliseconds slow_start{10'000};  ///< time over which a new engine reaches its full share
};

} // namespace citronwick

#endif
