#include "request_timeline.hpp"

#include "citronwick/core/printable_text.hpp"
#include "citronwick/io/json_text.hpp"
#include "command_context.hpp"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <ostream>
#include <ranges>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace citronwick {

namespace {

namespace json = boost::json;

/// Maximum number of event lines without a request that are searched for context,
/// counted back from the request's last line.
constexpr std::size_t max_context_lines = 2'000;

/// One line of a router's log.
struct log_line {
    std::string router;
    std::string time;
    json::object fields;
    bool names_request = false; ///< belongs to the request itself
};

/// Events about a router's state that affect how it handles any request.
constexpr std::array state_events{"keys_not_confirmed", "keys_confirmed",         "store_lost",
                                  "store_regained",     "configuration_in_force", "drain_started"};

/// Explanation of a request's final problem type or result.
struct result_explanation {
    std::string_view result;
    std::string_view explanation;
};
constexpr std::array explanations{
    result_explanation{"no-upstream",
                       "every candidate upstream was full, unavailable or refused it; it did not run"},
    result_explanation{"upstream-failed",
                       "an upstream failed after the request was sent to it; it may have run"},
    result_explanation{"keys-not-confirmed",
                       "the team keys were not confirmed in time; see their age and the store events"},
    result_explanation{
        "upstreams-busy",
        "the caller would have given up while the request waited in an engine; it did not run"},
    result_explanation{"upstreams-limited",
                       "the upstreams take no more requests than they named; it did not run"},
    result_explanation{"upstreams-paused", "all upstreams asked this router for a pause; it did not run"},
    result_explanation{"stream-not-resumable", "the version that began the stream is unknown or no longer "
                                               "served; see its stream_taken_up line"},
    result_explanation{"versions-not-confirmed", "the assignment of streams to versions could not be "
                                                 "confirmed lately; it did not run"},
    result_explanation{"crashes-upstreams", "upstreams crashed each time that this request ran"},
    result_explanation{"prompt-part-crashes-upstreams",
                       "upstreams crashed each time that a prompt with that part ran"},
    result_explanation{"deadline", "the deadline of the caller or of the route passed"},
    result_explanation{"unknown-route",
                       "no route of the declaration in force matches the path; see its version"},
    result_explanation{"unknown-team", "no team of the declaration in force has the key; see its version"},
    result_explanation{"answered", "the response was delivered completely"},
    result_explanation{"caller-left", "the caller closed the connection"},
    result_explanation{"stream-broken",
                       "the stream was interrupted and could not be resumed on another upstream"},
    result_explanation{"upstream-error", "the upstream responded with an error"},
};

std::optional<log_line> parse_line(const std::string& text, const std::string& router) {
    const auto entry = parse_json_object(text);
    const auto* const fields = entry ? object_member(*entry, "line") : nullptr;
    if (fields == nullptr) {
        return std::nullopt;
    }
    return log_line{router, string_member(*entry, "time"), *fields};
}

/// Reads one router's log lines that name the request, with the events that
/// explain them, in order of time.
std::vector<log_line> read_timeline(const std::string& file, const std::string& request,
                                    std::size_t& unparsed_lines) {
    std::ifstream input{file};
    std::vector<log_line> lines;
    std::vector<log_line> context;
    std::set<std::string> upstreams;
    std::string text;
    while (std::getline(input, text)) {
        auto line = parse_line(text, file);
        if (!line) {
            ++unparsed_lines;
            continue;
        }
        line->names_request = string_member(line->fields, "request") == request;
        if (line->names_request) {
            upstreams.insert(string_member(line->fields, "upstream"));
            lines.push_back(std::move(*line));
        } else if (line->fields.if_contains("request") == nullptr) {
            context.push_back(std::move(*line));
        }
    }
    if (lines.empty()) {
        return {};
    }
    upstreams.erase("");
    const auto explains = [&](const log_line& candidate) {
        const auto event = string_member(candidate.fields, "event");
        return std::ranges::find(state_events, event) != state_events.end() ||
               upstreams.contains(string_member(candidate.fields, "upstream"));
    };
    const std::string last = lines.back().time;
    const auto first_after = std::ranges::upper_bound(context, last, {}, &log_line::time);
    const auto begin =
        first_after - std::min<std::ptrdiff_t>(first_after - context.begin(), max_context_lines);
    std::ranges::copy_if(begin, first_after, std::back_inserter(lines), explains);
    std::ranges::stable_sort(lines, {}, &log_line::time);
    return lines;
}

std::string format_fields(const log_line& line) {
    std::string text;
    for (const auto& [name, value] : line.fields) {
        const bool is_shown = name != "event" && name != "request" && value.is_string();
        if (is_shown) {
            text += fmt::format(" {}={}", printable(name), printable(value.as_string()));
        }
    }
    return text;
}

/// Problem type or result in the last of the request's lines that has one.
std::string final_result(const std::vector<log_line>& lines) {
    std::string latest;
    for (const log_line& line : lines | std::views::filter(&log_line::names_request)) {
        const std::string type = string_member(line.fields, "type");
        const std::string result = string_member(line.fields, "result");
        latest = !type.empty() ? type : !result.empty() ? result : latest;
    }
    return latest;
}

void print(const command_context& command, const std::vector<log_line>& lines) {
    for (const log_line& line : lines) {
        command.out << fmt::format("{} {} {:<24}{}{}\n", line.time, line.router,
                                   string_member(line.fields, "event"), line.names_request ? " *" : "  ",
                                   format_fields(line));
    }
    const std::string result = final_result(lines);
    const auto* const found = std::ranges::find(explanations, result, &result_explanation::result);
    command.out << "ended: " << (result.empty() ? "not in these logs" : result);
    command.out << (found == explanations.end() ? "" : fmt::format(" ({})", found->explanation)) << "\n";
}

void print_json(const command_context& command, const std::vector<log_line>& lines) {
    json::array all;
    for (const log_line& line : lines) {
        all.push_back(json::object{{"time", line.time},
                                   {"router", line.router},
                                   {"own", line.names_request},
                                   {"line", line.fields}});
    }
    command.out << json::serialize(json::object{{"lines", std::move(all)}, {"ended", final_result(lines)}})
                << "\n";
}

} // namespace

exit_code explain_request(const command_context& command) {
    std::vector<log_line> timeline;
    std::size_t unparsed_lines = 0;
    for (const std::string& file : command.options.logs) {
        if (!std::ifstream{file}) {
            return report_failure(command, {"read log", file, "cannot be opened"});
        }
        std::ranges::move(read_timeline(file, command.options.request, unparsed_lines),
                          std::back_inserter(timeline));
    }
    if (unparsed_lines > 0) {
        command.errors << unparsed_lines << " lines are not JSON log lines and were skipped\n";
    }
    if (timeline.empty()) {
        command.errors << "no log line names request \"" << command.options.request << "\"\n";
        return exit_code::failed;
    }
    std::ranges::stable_sort(timeline, {}, &log_line::time);
    command.options.json ? print_json(command, timeline) : print(command, timeline);
    return exit_code::ok;
}

} // namespace citronwick
