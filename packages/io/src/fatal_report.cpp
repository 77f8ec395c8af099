#include "citronwick/io/fatal_report.hpp"

#include "citronwick/io/log.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/core/demangle.hpp>
#include <chrono>
#include <climits>
#include <csignal>
#include <cstdlib>
#include <cxxabi.h>
#include <poll.h>
#include <string_view>
#include <sys/prctl.h>
#include <typeinfo>
#include <unistd.h>

namespace citronwick {

namespace {

std::atomic<log_format> report_format{log_format::key_value};
std::atomic<const char*> current_step{""};
std::atomic<bool> reported{false};

struct signal_name {
    int number;
    std::string_view name;
};

constexpr std::array fatal_signals{
    signal_name{SIGSEGV, "SIGSEGV"}, signal_name{SIGBUS, "SIGBUS"},   signal_name{SIGFPE, "SIGFPE"},
    signal_name{SIGILL, "SIGILL"},   signal_name{SIGABRT, "SIGABRT"},
};

/// Line of a log that is built without allocating memory or calling functions that are
/// not async-signal-safe. Text that does not fit is cut.
class fatal_line {
public:
    explicit fatal_line(log_format format) : is_json_{format == log_format::json} {
        append(is_json_ ? R"({"time":")" : "time=");
        append_time(std::chrono::system_clock::now());
        append(is_json_ ? R"(","level":"critical","line":{"event":"process_failed")"
                        : " level=critical event=process_failed");
    }

    void add(std::string_view name, std::string_view value) {
        append(is_json_ ? R"(,")" : " ");
        append(name);
        append(is_json_ ? R"(":")" : R"(=")");
        std::ranges::for_each(value, [this](char each) { append_escaped(each); });
        append(R"(")");
    }

    std::string_view finish() {
        append(is_json_ ? "}}\n" : "\n");
        return {text_.data(), size_};
    }

private:
    /// Leaves room for the end of the line.
    static constexpr std::size_t reserved_bytes = 8;

    void append(std::string_view text) {
        const auto room = text_.size() - size_;
        const auto part = text.substr(0, room);
        std::ranges::copy(part, text_.begin() + static_cast<std::ptrdiff_t>(size_));
        size_ += part.size();
    }

    void append_escaped(char each) {
        if (size_ + reserved_bytes > text_.size()) {
            return;
        }
        const bool is_control = static_cast<unsigned char>(each) < ' ';
        if (each == '"' || each == '\\') {
            append("\\");
        }
        append({is_control ? " " : &each, 1});
    }

    void append_number(unsigned value, std::size_t digits) {
        std::array<char, 8> reversed{};
        std::for_each_n(reversed.begin(), digits, [&value](char& digit) {
            digit = static_cast<char>('0' + value % 10);
            value /= 10;
        });
        std::reverse(reversed.begin(), reversed.begin() + static_cast<std::ptrdiff_t>(digits));
        append({reversed.data(), digits});
    }

    /// In UTC: the conversion to local time may allocate memory.
    void append_time(std::chrono::system_clock::time_point now) {
        const auto day = std::chrono::floor<std::chrono::days>(now);
        const std::chrono::year_month_day date{day};
        const std::chrono::hh_mm_ss time{std::chrono::floor<std::chrono::milliseconds>(now - day)};
        append_number(static_cast<unsigned>(static_cast<int>(date.year())), 4);
        append("-");
        append_number(static_cast<unsigned>(date.month()), 2);
        append("-");
        append_number(static_cast<unsigned>(date.day()), 2);
        append("T");
        append_number(static_cast<unsigned>(time.hours().count()), 2);
        append(":");
        append_number(static_cast<unsigned>(time.minutes().count()), 2);
        append(":");
        append_number(static_cast<unsigned>(time.seconds().count()), 2);
        append(".");
        append_number(static_cast<unsigned>(time.subseconds().count()), 3);
        append("Z");
    }

    bool is_json_;
    std::array<char, 1'024> text_{};
    static_assert(std::tuple_size_v<decltype(text_)> <= PIPE_BUF);
    std::size_t size_ = 0;
};

/// Adds where the process is, and writes the line to the outputs that take it at once.
void write_fatal_line(fatal_line& line) {
    std::array<char, 16> thread_name{};
    ::prctl(PR_GET_NAME, thread_name.data());
    line.add("thread", thread_name.data());
    line.add("step", current_step.load());
    const auto text = line.finish();
    for (const int descriptor : {STDERR_FILENO, STDOUT_FILENO}) {
        pollfd output{.fd = descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&output, 1, 0) > 0) {
            [[maybe_unused]] const auto written = ::write(descriptor, text.data(), text.size());
        }
    }
}

void handle_fatal_signal(int number) {
    if (!reported.exchange(true)) {
        const auto* const known = std::ranges::find(fatal_signals, number, &signal_name::number);
        fatal_line line{report_format};
        line.add("signal", known == fatal_signals.end() ? "unknown" : known->name);
        write_fatal_line(line);
    }
    // SA_RESETHAND has restored the default action.
    ::raise(number);
}

[[noreturn]] void handle_terminate() {
    report_fatal_exception(std::current_exception());
    std::abort();
}

} // namespace

void install_fatal_report() {
    std::set_terminate(&handle_terminate);
    // The sanitizers write reports of their own at these signals.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    std::ranges::for_each(fatal_signals, [](const signal_name& each) {
        struct sigaction action{};
        action.sa_handler = &handle_fatal_signal;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
        ::sigaction(each.number, &action, nullptr);
    });
#endif
}

void set_fatal_report_format(log_format format) {
    report_format = format;
}

void set_process_step(const char* step) {
    current_step = step;
}

const char* process_step() {
    return current_step;
}

void report_fatal_exception(const std::exception_ptr& exception) noexcept {
    if (reported.exchange(true)) {
        return;
    }
    fatal_line line{report_format};
    try {
        if (exception) {
            std::rethrow_exception(exception);
        }
        line.add("exception", "none");
    } catch (const std::exception& error) {
        line.add("exception", boost::core::demangle(typeid(error).name()));
        line.add("detail", error.what());
    } catch (...) {
        const std::type_info* const type = abi::__cxa_current_exception_type();
        line.add("exception", type == nullptr ? "unknown" : boost::core::demangle(type->name()));
    }
    write_fatal_line(line);
}

} // namespace citronwick
