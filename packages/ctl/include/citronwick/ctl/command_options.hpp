#ifndef CITRONWICK_CTL_COMMAND_OPTIONS_HPP_INCLUDED
#define CITRONWICK_CTL_COMMAND_OPTIONS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

/// Options of an operator's command, as given on the command line.
struct command_options {
    std::string file;                ///< declaration
    std::string name;                ///< preset or upstream
    std::vector<endpoint> key_value; ///< servers of the platform's service
    std::string key_prefix;
    std::vector<endpoint> routers;     ///< operators' addresses of routers
    std::optional<std::uint64_t> base; ///< generation that a change was made from
    std::string preset;                ///< to put in force with a declaration
    std::string writer;
    std::string reason;
    std::string chat;
    std::string team;
    std::string model;
    std::string request;           ///< identifier that the caller sent with it
    std::vector<std::string> logs; ///< files of routers, in JSON
    bool json = false;
    std::chrono::milliseconds timeout{3'000};
};

/// Exit codes of citronctl.
enum class exit_code : int {
    ok = 0,
    failed = 1, ///< something did not answer, or the outcome could not be learnt
    usage = 2,  ///< bad usage, or a declaration with faults
    lost = 3    ///< another change came first; nothing was changed
};

} // namespace citronwick

#endif
