#include "process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace citronwick::soak {

std::optional<std::uint64_t> resident_bytes(pid_t process) {
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(status, line);) {
        std::istringstream words{line};
        std::string name;
        std::uint64_t kilobytes = 0;
        if (words >> name >> kilobytes && name == "VmRSS:") {
            constexpr std::uint64_t bytes_per_kilobyte = 1'024;
            return kilobytes * bytes_per_kilobyte;
        }
    }
    return std::nullopt;
}

std::optional<std::chrono::milliseconds> processor_time(pid_t process) {
    std::ifstream stat{"/proc/" + std::to_string(process) + "/stat"};
    std::string line;
    std::getline(stat, line);
    const auto name_end = line.rfind(')');
    if (name_end == std::string::npos) {
        return std::nullopt;
    }
    // The fields after the name begin with the state; user and system time follow ten further ones.
    constexpr int fields_before_times = 11;
    std::istringstream fields{line.substr(name_end + 1)};
    std::string skipped;
    for (int field = 0; field < fields_before_times; ++field) {
        fields >> skipped;
    }
    std::int64_t user_ticks = 0;
    std::int64_t system_ticks = 0;
    if (!(fields >> user_ticks >> system_ticks)) {
        return std::nullopt;
    }
    constexpr std::int64_t milliseconds_per_second = 1'000;
    return std::chrono::milliseconds{(user_ticks + system_ticks) * milliseconds_per_second /
                                     ::sysconf(_SC_CLK_TCK)};
}

} // namespace citronwick::soak
