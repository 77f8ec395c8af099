#ifndef CITRONWICK_CONTROL_LOAD_REPORT_HPP_INCLUDED
#define CITRONWICK_CONTROL_LOAD_REPORT_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string_view>

namespace citronwick {

/// Response header that carries an upstream's load report (ORCA).
constexpr std::string_view load_report_header = "endpoint-load-metrics";
/// Request header that asks for a load report, with its format as value.
constexpr std::string_view load_report_format_header = "endpoint-load-metrics-format";

/// Metrics of an ORCA load report that are used for routing.
struct load_report {
    double in_flight = 0.0;        ///< requests running and waiting
    std::uint64_t incarnation = 0; ///< start time in milliseconds since the Unix epoch
    bool leaving = false;
};

/// Parses a load report in JSON format.
/// @return nullopt if the header holds no JSON object with named metrics
std::optional<load_report> parse_load_report(std::string_view header);

} // namespace citronwick

#endif
