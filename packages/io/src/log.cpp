#include "citronwick/io/log.hpp"

#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace citronwick {

namespace {

constexpr std::size_t queue_capacity = 16'384;

std::atomic<log_format> active_format{log_format::key_value};

bool needs_quotes(const std::string& value) {
    return value.empty() || value.find_first_of(" =\"\n") != std::string::npos;
}

std::string as_key_value(std::string_view event, std::initializer_list<log_field> fields) {
    std::string line = "event=" + std::string{event};
    std::ranges::for_each(fields, [&line](const log_field& field) {
        line += " " + std::string{field.first} + "=";
        line += needs_quotes(field.second) ? boost::json::serialize(boost::json::string{field.second})
                                           : field.second;
    });
    return line;
}

std::string as_json(std::string_view event, std::initializer_list<log_field> fields) {
    boost::json::object object{{"event", event}};
    std::ranges::for_each(fields, [&object](const log_field& field) { object[field.first] = field.second; });
    return boost::json::serialize(object);
}

void write_line(spdlog::level::level_enum level, std::string_view event,
                std::initializer_list<log_field> fields) {
    const bool json = active_format.load(std::memory_order_relaxed) == log_format::json;
    spdlog::log(level, spdlog::string_view_t{json ? as_json(event, fields) : as_key_value(event, fields)});
}

std::atomic<std::size_t> submitted_lines{0};
std::atomic<std::size_t> reported_dropped_lines{0};

/// Logs how many lines were dropped, once the queue is no more than half full.
void report_dropped_lines() {
    // Querying the queue takes its lock, so this is not done for every line.
    constexpr std::size_t lines_between_checks = 64;
    if (submitted_lines.fetch_add(1, std::memory_order_relaxed) % lines_between_checks != 0) {
        return;
    }
    const auto pool = spdlog::thread_pool();
    const std::size_t dropped = pool == nullptr ? 0 : pool->overrun_counter();
    if (dropped == reported_dropped_lines || pool->queue_size() > queue_capacity / 2) {
        return;
    }
    const std::size_t newly_dropped = dropped - reported_dropped_lines.exchange(dropped);
    write_line(spdlog::level::warn, "log_lines_dropped",
               {{"lines", std::to_string(newly_dropped)}, {"since_start", std::to_string(dropped)}});
}

void write(spdlog::level::level_enum level, std::string_view event, std::initializer_list<log_field> fields) {
    if (!spdlog::should_log(level)) {
        return;
    }
    report_dropped_lines();
    write_line(level, event, fields);
}

} // namespace

void open_log(log_format format, const std::string& level) {
    active_format = format;
    spdlog::init_thread_pool(queue_capacity, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("citronwick");
    logger->set_level(spdlog::level::from_str(level));
    logger->set_pattern(format == log_format::json
                            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","line":%v})"
                            : "time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    spdlog::set_default_logger(std::move(logger));
    spdlog::flush_every(std::chrono::seconds{1});
}

void set_log_level(const std::string& level) {
    spdlog::default_logger()->set_level(spdlog::level::from_str(level));
}

void close_log() {
    spdlog::shutdown();
}

void log_info(std::string_view event, std::initializer_list<log_field> fields) {
    write(spdlog::level::info, event, fields);
}

void log_warn(std::string_view event, std::initializer_list<log_field> fields) {
    write(spdlog::level::warn, event, fields);
}

void log_debug(std::string_view event, std::initializer_list<log_field> fields) {
    write(spdlog::level::debug, event, fields);
}

void log_failure(std::string_view event, const failure& error) {
    log_warn(event, {{"step", error.step}, {"peer", error.peer}, {"detail", error.detail}});
}

} // namespace citronwick
