#ifndef CITRONWICK_CTL_COMMAND_OPTIONS_HPP_INCLUDED
#define CITRONWICK_CTL_COMMAND_OPTIONS_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace citronwick {

/// Command-line options of citronctl.
struct command_options {
    std::string file;                ///< file of the declaration
    std::string name;                ///< preset or upstream that the command acts on
    std::vector<endpoint> key_value; ///< servers of the key-value service
    std::string key_prefix;
    std::vector<endpoint> routers;     ///< operator addresses of routers
    std::optional<std::uint64_t> base; ///< generation that the change is based on
    std::string preset;                ///< preset to activate with a declaration
    std::string writer;
    std::string reason;
    std::string chat;
    std::string team;
    std::string model;
    std::string adapter;           ///< platform whose format a declaration of routes has, empty for none
    std::optional<endpoint> store; ///< store of that platform
    std::string request;           ///< request identifier sent by the caller
    std::vector<std::string> logs; ///< JSON log files of routers
    bool json = false;
    std::chrono::milliseconds timeout{3'000};
};

/// Exit codes of citronctl.
enum class exit_code : int {
    ok = 0,
    failed = 1,  ///< a server did not respond, or the outcome is unknown
    usage = 2,   ///< invalid usage or declaration
    conflict = 3 ///< another change was committed first; nothing was changed
};

} // namespace citronwick

#endif
