#include "citronwick/policy/stream_position.hpp"

#include "citronwick/policy/stream_event.hpp"

#include <utility>

namespace citronwick {

stream_position::stream_position(std::string last_event_id)
    : last_event_id_{std::move(last_event_id)}, has_events_{!last_event_id_.empty()},
      last_event_has_id_{has_events_} {}

void stream_position::begin_run() {
    run_events_ = 0;
    run_first_event_id_.clear();
}

void stream_position::advance(const stream_event& next) {
    if (events_ == 0) {
        first_event_id_ = next.id.value_or("");
    }
    if (run_events_ == 0) {
        run_first_event_id_ = next.id.value_or("");
    }
    if (next.id) {
        last_event_id_ = *next.id;
    }
    ++events_;
    ++run_events_;
    has_events_ = true;
    last_event_has_id_ = next.id && !next.id->empty();
    is_final_ = is_final_ || next.is_final;
}

} // namespace citronwick
