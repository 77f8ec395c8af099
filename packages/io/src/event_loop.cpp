#include "citronwick/io/event_loop.hpp"

#include "citronwick/io/unhandled_exceptions.hpp"

namespace citronwick {

void run_event_loop(boost::asio::io_context& context, std::string_view name) {
    bool has_ended = false;
    while (!has_ended) {
        try {
            context.run();
            has_ended = true;
        } catch (...) {
            record_unhandled_exception(name, std::current_exception());
        }
    }
}

} // namespace citronwick
