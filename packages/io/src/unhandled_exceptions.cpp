#include "citronwick/io/unhandled_exceptions.hpp"

#include "citronwick/io/log.hpp"

#include <mutex>

namespace citronwick {

namespace {

/// Counters of the process. The mutex is locked only for an exception or a page.
struct exception_counters {
    std::mutex mutex;
    unhandled_exception_counts counts;
};

exception_counters& counters() {
    static exception_counters instance;
    return instance;
}

} // namespace

std::string describe(const std::exception_ptr& exception) {
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "not a std::exception";
    }
}

void record_unhandled_exception(std::string_view source, const std::exception_ptr& exception) {
    {
        exception_counters& shared = counters();
        const std::scoped_lock lock{shared.mutex};
        ++shared.counts[std::string{source}];
    }
    log_warn("unhandled_exception", {{"source", std::string{source}}, {"detail", describe(exception)}});
}

unhandled_exception_counts unhandled_exceptions() {
    exception_counters& shared = counters();
    const std::scoped_lock lock{shared.mutex};
    return shared.counts;
}

std::string unhandled_exceptions_page() {
    constexpr const char* name = "citronwick_unhandled_exceptions_total";
    std::string page = std::string{"# HELP "} + name +
                       " Exceptions that ended a handler or a task, by thread or task\n# TYPE " + name +
                       " counter\n";
    for (const auto& [source, count] : unhandled_exceptions()) {
        page += std::string{name} + "{source=\"" + source + "\"} " + std::to_string(count) + "\n";
    }
    return page;
}

} // namespace citronwick
