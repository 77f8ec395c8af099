#ifndef CITRONWICK_BENCH_CHAT_POPULATION_HPP_INCLUDED
#define CITRONWICK_BENCH_CHAT_POPULATION_HPP_INCLUDED

#include "experiment.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace citronwick::bench {

/// One request that a caller is about to make.
struct planned_request {
    std::size_t chat = 0;
    std::string chat_id;
    std::string team;
    std::string prompt;
    std::int64_t tokens = 0;
    std::string hint;
    double reusable_tokens = 0.0; ///< that an all-knowing placement would find in a cache
};

/// The chats that return: what each has said, and which engines hold it.
class chat_population {
public:
    chat_population(const load_shape& shape, std::uint32_t seed);

    /// Plans a request of a chat that has none under way.
    planned_request next();

    /// Notes the end of a request.
    /// @param upstream engine that ran it, empty where none did
    void finished(const planned_request& request, const std::string& upstream, const std::string& hint);

    /// Notes that an engine lost its cache.
    void forget_engine(const std::string& upstream);

    /// Time until the next request arrives.
    std::chrono::duration<double> next_pause();

private:
    struct chat_state {
        std::string id;
        std::string team;
        std::string prompt;
        std::string hint;
        bool busy = false;
        std::uint32_t restarts = 0;
        std::map<std::string, std::size_t> held; ///< characters of the prompt, by engine
    };

    std::string fresh_text(std::size_t characters);
    void start_anew(chat_state& chat, std::size_t index);

    load_shape shape_;
    std::mt19937_64 random_;
    std::vector<chat_state> chats_;
    std::discrete_distribution<std::size_t> pick_;
};

} // namespace citronwick::bench

#endif
