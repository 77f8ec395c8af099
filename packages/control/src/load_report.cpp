#include "citronwick/control/load_report.hpp"

#include "citronwick/io/json_text.hpp"

namespace citronwick {

std::optional<load_report> parse_load_report(std::string_view header) {
    constexpr std::string_view prefix = "JSON ";
    if (header.starts_with(prefix)) {
        header.remove_prefix(prefix.size());
    }
    const auto object = parse_json_object(header);
    const auto* const metrics = object ? object_member(*object, "named_metrics") : nullptr;
    if (metrics == nullptr) {
        return std::nullopt;
    }
    constexpr double milliseconds = 1'000.0;
    return load_report{
        number_member(*metrics, "num_requests_running") + number_member(*metrics, "num_requests_waiting"),
        static_cast<std::uint64_t>(number_member(*metrics, "process_start_time_seconds") * milliseconds),
        number_member(*metrics, "draining") > 0.0};
}

} // namespace citronwick
