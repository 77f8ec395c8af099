#include "request_story.hpp"

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

/// Beliefs that explain a request are this many lines before its first one at most.
constexpr std::size_t belief_lines = 2'000;

/// One line of a router's log.
struct log_line {
    std::string router;
    std::string time;
    json::object fields;
    bool is_own = false; ///< of the request itself
};

/// Events about a router's own state that decide on requests.
constexpr std::array state_events{"keys_not_confirmed", "keys_confirmed",         "store_lost",
                                  "store_regained",     "configuration_in_force", "drain_started"};

/// What a request's last line means.
struct cause_text {
    std::string_view type;
    std::string_view cause;
};
constexpr std::array causes{
    cause_text{"no-upstream",
               "every upstream that could be tried was full, gone or refused it; it did not run"},
    cause_text{"upstream-failed", "an upstream broke off after the request had been sent; it may have run"},
    cause_text{"keys-not-confirmed",
               "the team keys were not confirmed in time; see the age and the store's lines"},
    cause_text{"deadline", "the time that the caller or the route gives was over"},
    cause_text{"unknown-route", "no route of the declaration in force leads there; see its version"},
    cause_text{"unknown-team", "no team of the declaration in force holds the key; see its version"},
    cause_text{"answered", "it was answered whole"},
    cause_text{"caller-left", "the caller closed the connection"},
    cause_text{"stream-broken", "the stream broke and could not go on elsewhere"},
    cause_text{"upstream-error", "the upstream itself answered with an error"},
};

std::optional<log_line> parse_line(const std::string& text, const std::string& router) {
    const auto whole = parse_json_object(text);
    const auto* const fields = whole ? object_member(*whole, "line") : nullptr;
    if (fields == nullptr) {
        return std::nullopt;
    }
    return log_line{router, string_member(*whole, "time"), *fields};
}

/// Lines of one router that belong to the request, with the beliefs around them.
std::vector<log_line> lines_of(const std::string& file, const std::string& request, std::size_t& unreadable) {
    std::ifstream input{file};
    std::vector<log_line> lines;
    std::vector<log_line> beliefs;
    std::set<std::string> upstreams;
    std::string text;
    while (std::getline(input, text)) {
        auto line = parse_line(text, file);
        if (!line) {
            ++unreadable;
            continue;
        }
        line->is_own = string_member(line->fields, "request") == request;
        if (line->is_own) {
            upstreams.insert(string_member(line->fields, "upstream"));
            lines.push_back(std::move(*line));
        } else if (line->fields.if_contains("request") == nullptr) {
            beliefs.push_back(std::move(*line));
        }
    }
    if (lines.empty()) {
        return {};
    }
    upstreams.erase("");
    const auto explains = [&](const log_line& belief) {
        const auto event = string_member(belief.fields, "event");
        return std::ranges::find(state_events, event) != state_events.end() ||
               upstreams.contains(string_member(belief.fields, "upstream"));
    };
    const std::string last = lines.back().time;
    const auto first_after = std::ranges::upper_bound(beliefs, last, {}, &log_line::time);
    const auto begin = first_after - std::min<std::ptrdiff_t>(first_after - beliefs.begin(), belief_lines);
    std::ranges::copy_if(begin, first_after, std::back_inserter(lines), explains);
    std::ranges::stable_sort(lines, {}, &log_line::time);
    return lines;
}

std::string fields_of(const log_line& line) {
    std::string text;
    for (const auto& [name, value] : line.fields) {
        const bool is_shown = name != "event" && name != "request" && value.is_string();
        if (is_shown) {
            text += fmt::format(" {}={}", std::string_view{name}, std::string_view{value.as_string()});
        }
    }
    return text;
}

/// Type or result of the last line that ended the request.
std::string ending_of(const std::vector<log_line>& lines) {
    std::string ending;
    for (const log_line& line : lines | std::views::filter(&log_line::is_own)) {
        const std::string type = string_member(line.fields, "type");
        const std::string result = string_member(line.fields, "result");
        ending = !type.empty() ? type : !result.empty() ? result : ending;
    }
    return ending;
}

void print(const command_context& command, const std::vector<log_line>& lines) {
    for (const log_line& line : lines) {
        command.out << fmt::format("{} {} {:<24}{}{}\n", line.time, line.router,
                                   string_member(line.fields, "event"), line.is_own ? " *" : "  ",
                                   fields_of(line));
    }
    const std::string ending = ending_of(lines);
    const auto* const known = std::ranges::find(causes, ending, &cause_text::type);
    command.out << "ended: " << (ending.empty() ? "not in these logs" : ending);
    command.out << (known == causes.end() ? "" : fmt::format(" ({})", known->cause)) << "\n";
}

void print_json(const command_context& command, const std::vector<log_line>& lines) {
    json::array all;
    for (const log_line& line : lines) {
        all.push_back(json::object{
            {"time", line.time}, {"router", line.router}, {"own", line.is_own}, {"line", line.fields}});
    }
    command.out << json::serialize(json::object{{"lines", std::move(all)}, {"ended", ending_of(lines)}})
                << "\n";
}

} // namespace

exit_code explain_request(const command_context& command) {
    std::vector<log_line> story;
    std::size_t unreadable = 0;
    for (const std::string& file : command.options.logs) {
        if (!std::ifstream{file}) {
            return report(command, {"read log", file, "cannot be opened"});
        }
        std::ranges::move(lines_of(file, command.options.request, unreadable), std::back_inserter(story));
    }
    if (unreadable > 0) {
        command.errors << unreadable << " lines are no JSON log lines and were left out\n";
    }
    if (story.empty()) {
        command.errors << "no line names request \"" << command.options.request << "\"\n";
        return exit_code::failed;
    }
    std::ranges::stable_sort(story, {}, &log_line::time);
    command.options.json ? print_json(command, story) : print(command, story);
    return exit_code::ok;
}

} // namespace citronwick
