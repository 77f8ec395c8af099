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

constexpr std::size_t queued_lines = 16'384;

std::atomic<log_format> chosen_format{log_format::key_value};

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

void put(spdlog::level::level_enum level, std::string_view event, std::initializer_list<log_field> fields) {
    const bool json = chosen_format.load(std::memory_order_relaxed) == log_format::json;
    spdlog::log(level, spdlog::string_view_t{json ? as_json(event, fields) : as_key_value(event, fields)});
}

std::atomic<std::size_t> written_lines{0};
std::atomic<std::size_t> reported_drops{0};

/// Reports lines that found the buffer full, once the buffer has room again.
void report_drops() {
    // Asking the buffer takes its lock, so not every line does.
    constexpr std::size_t lines_between_looks = 64;
    if (written_lines.fetch_add(1, std::memory_order_relaxed) % lines_between_looks != 0) {
        return;
    }
    const auto pool = spdlog::thread_pool();
    const std::size_t dropped = pool == nullptr ? 0 : pool->overrun_counter();
    if (dropped == reported_drops || pool->queue_size() > queued_lines / 2) {
        return;
    }
    const std::size_t newly = dropped - reported_drops.exchange(dropped);
    put(spdlog::level::warn, "log_lines_dropped",
        {{"lines", std::to_string(newly)}, {"since_start", std::to_string(dropped)}});
}

void write(spdlog::level::level_enum level, std::string_view event, std::initializer_list<log_field> fields) {
    if (!spdlog::should_log(level)) {
        return;
    }
    report_drops();
    put(level, event, fields);
}

} // namespace

void open_log(log_format format, const std::string& level) {
    chosen_format = format;
    spdlog::init_thread_pool(queued_lines, 1);
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
