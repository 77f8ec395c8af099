#include "citronwick/io/log.hpp"

#include "citronwick/io/fatal_report.hpp"
#include "citronwick/io/line_output.hpp"

#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <mutex>
#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace citronwick {

namespace {

constexpr std::size_t queue_capacity = 16'384;
/// Bytes of lines kept while the reader of standard output does not read.
constexpr std::size_t unread_capacity = std::size_t{1} << 20U;
/// Time in which close_log() returns. Shorter than the margin that a drain leaves before
/// the platform removes the VM.
constexpr std::chrono::milliseconds close_limit{200};

/// Writes the lines to standard output, without waiting for its reader.
class line_sink final : public spdlog::sinks::sink {
public:
    /// @param pool calls this sink on its thread, and so outlives each call
    explicit line_sink(spdlog::details::thread_pool& pool) : pool_{pool} {}

    std::size_t dropped_lines() const { return output_.dropped_lines(); }
    bool is_crowded() const { return output_.is_crowded(); }

    /// Keeps further lines in memory, until finish() writes them.
    /// @return false if a write has blocked for longer than `limit`
    bool hold(std::chrono::milliseconds limit) {
        holds_ = true;
        const std::unique_lock lock{mutex_, limit};
        return lock.owns_lock();
    }

    void finish(std::chrono::milliseconds limit) {
        const std::scoped_lock lock{mutex_};
        output_.finish(limit);
    }

    void log(const spdlog::details::log_msg& message) override {
        const std::scoped_lock lock{mutex_};
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        output_.add({line.data(), line.size()});
        // Lines that wait in the queue are written together.
        if (pool_.queue_size() == 0) {
            write_ready();
        }
    }

    void flush() override {
        const std::scoped_lock lock{mutex_};
        write_ready();
    }

    void set_pattern(const std::string& pattern) override {
        set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern));
    }

    void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override {
        const std::scoped_lock lock{mutex_};
        formatter_ = std::move(formatter);
    }

private:
    void write_ready() {
        if (!holds_) {
            output_.write_ready();
        }
    }

    // Not asked of spdlog each time: its shutdown holds a lock while it joins the thread.
    spdlog::details::thread_pool& pool_;
    std::timed_mutex mutex_;
    std::unique_ptr<spdlog::formatter> formatter_ = std::make_unique<spdlog::pattern_formatter>();
    line_output output_{STDOUT_FILENO, unread_capacity};
    std::atomic<bool> holds_{false};
};

// Outlives spdlog's own objects: its thread may write to it until the process ends.
std::shared_ptr<line_sink>& active_sink() {
    static auto* const sink = new std::shared_ptr<line_sink>;
    return *sink;
}

std::atomic<log_format> active_format{log_format::key_value};

/// Control characters are escaped within quotes.
bool needs_quotes(const std::string& value) {
    const auto needs = [](char each) {
        const auto byte = static_cast<unsigned char>(each); // plain char is signed on some machines
        return byte <= ' ' || each == '=' || each == '"';
    };
    return value.empty() || std::ranges::any_of(value, needs);
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

/// Logs how many lines were dropped, once queue and output are no more than half full.
void report_dropped_lines() {
    // Querying the queue takes its lock, so this is not done for every line.
    constexpr std::size_t lines_between_checks = 64;
    if (submitted_lines.fetch_add(1, std::memory_order_relaxed) % lines_between_checks != 0) {
        return;
    }
    const auto pool = spdlog::thread_pool();
    const auto& sink = active_sink();
    if (pool == nullptr || sink == nullptr) {
        return;
    }
    const std::size_t dropped = pool->overrun_counter() + sink->dropped_lines();
    if (dropped == reported_dropped_lines || pool->queue_size() > queue_capacity / 2 || sink->is_crowded()) {
        return;
    }
    const std::size_t newly_dropped = dropped - reported_dropped_lines.exchange(dropped);
    write_line(spdlog::level::warn, "log_lines_dropped",
               {{"lines", std::to_string(newly_dropped)}, {"since_start", std::to_string(dropped)}});
}

void write(spdlog::level::level_enum level, std::string_view event, std::initializer_list<log_field> fields) {
    const auto* const logger = spdlog::default_logger_raw();
    if (logger == nullptr || !logger->should_log(level)) {
        return;
    }
    report_dropped_lines();
    write_line(level, event, fields);
}

} // namespace

void open_log(log_format format, const std::string& level) {
    active_format = format;
    set_fatal_report_format(format);
    spdlog::init_thread_pool(queue_capacity, 1);
    active_sink() = std::make_shared<line_sink>(*spdlog::thread_pool());
    auto logger = std::make_shared<spdlog::async_logger>("citronwick", active_sink(), spdlog::thread_pool(),
                                                         spdlog::async_overflow_policy::overrun_oldest);
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

bool close_log() {
    const auto& sink = active_sink();
    if (sink == nullptr) {
        return true;
    }
    if (!sink->hold(close_limit / 2)) {
        return false;
    }
    spdlog::shutdown();
    sink->finish(close_limit / 2);
    return true;
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
