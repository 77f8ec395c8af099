#ifndef CITRONWICK_BENCH_CHAT_POPULATION_HPP_INCLUDED
#define CITRONWICK_BENCH_CHAT_POPULATION_HPP_INCLUDED

#include "experiment.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace citronwick::bench {

/// A request to send on behalf of a chat.
struct planned_request {
    std::size_t chat = 0;
    std::string chat_id;
    std::string team;
    std::string prompt;
    std::int64_t tokens = 0;
    std::string hint;
    double reusable_tokens = 0.0; ///< prompt tokens that the engine with the longest cached prefix holds
};

/// The simulated chats, with the prompt of each and the engines that cache it.
class chat_population {
public:
    chat_population(const load_profile& profile, std::uint32_t seed);

    /// Chooses a chat without a request in flight and extends its prompt.
    planned_request next();

    /// Records the end of a request.
    /// @param upstream engine that completed it, empty if none did
    void record_result(const planned_request& request, const std::string& upstream, const std::string& hint);

    /// Drops an engine whose cache is lost or no longer used.
    void remove_engine(const std::string& upstream);

    /// Draws the time until the next request arrives (Poisson arrivals).
    std::chrono::duration<double> next_interarrival_time();

private:
    struct chat_state {
        std::string id;
        std::string team;
        std::string prompt;
        std::string hint;
        bool request_in_flight = false;
        std::uint32_t restarts = 0;
        std::map<std::string, std::size_t> cached; ///< cached characters of the prompt, by engine
    };

    std::string random_text(std::size_t characters);
    void restart_chat(chat_state& chat, std::size_t index);

    load_profile profile_;
    std::mt19937_64 random_;
    std::vector<chat_state> chats_;
    std::discrete_distribution<std::size_t> chat_distribution_;
};

} // namespace citronwick::bench

#endif
