#ifndef CITRONWICK_CONTROL_LOAD_REPORT_HPP_INCLUDED
#define CITRONWICK_CONTROL_LOAD_REPORT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string_view>

namespace citronwick {

/// Header in which an upstream reports its load (ORCA).
constexpr std::string_view load_report_header = "endpoint-load-metrics";
/// Header with which a request asks for a load report.
constexpr std::string_view load_report_format_header = "endpoint-load-metrics-format";

/// Named metrics of an ORCA load report that routing uses.
struct load_report {
    double in_flight = 0.0;        ///< requests running and waiting
    std::uint64_t incarnation = 0; ///< start time in milliseconds of the Unix epoch
    bool leaving = false;
};

/// Reads the JSON form of a load report.
std::optional<load_report> parse_load_report(std::string_view header);

} // namespace citronwick

#endif
