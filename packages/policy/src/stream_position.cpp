#include "citronwick/policy/stream_position.hpp"

#include "citronwick/policy/stream_event.hpp"

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace citronwick {

namespace {

std::optional<std::uint64_t> number_of(std::string_view id) {
    std::uint64_t number = 0;
    const char* const begin = id.data();
    const char* const end = begin + id.size();
    const auto [parsed, error] = std::from_chars(begin, end, number);
    return error == std::errc{} && parsed == end ? std::optional{number} : std::nullopt;
}

} // namespace

std::string_view to_text(sequence_fault value) {
    constexpr std::array<std::string_view, 4> names{"repeated", "omitted", "unnumbered", "of other weights"};
    return names.at(static_cast<std::size_t>(value));
}

stream_position::stream_position(std::string last_event_id)
    : last_event_id_{std::move(last_event_id)}, id_of_last_event_{last_event_id_},
      has_events_{!last_event_id_.empty()}, last_event_has_id_{has_events_},
      last_number_{number_of(last_event_id_)}, is_taken_up_{has_events_} {}

void stream_position::begin_run(std::optional<stream_numbering> known,
                                std::optional<std::uint64_t> weight_version) {
    known_numbering_ = known;
    run_is_numbered_ = true;
    run_last_number_.reset();
    run_weight_version_ = weight_version;
    run_events_ = 0;
    run_first_event_id_.clear();
}

std::optional<sequence_fault> stream_position::find_fault(const stream_event& next) const {
    if (!has_other_ids_ && goes_back(next)) {
        return sequence_fault::repeated;
    }
    if (run_events_ == 0 && has_other_weights(next)) {
        return sequence_fault::other_weights;
    }
    const bool is_between_runs = run_events_ == 0 && has_events_ && last_event_has_id_;
    return is_between_runs ? find_fault_between_runs(next) : std::nullopt;
}

/// Whether the first event of a run was made with weights of which the caller is not told. Newer
/// ones that the event names are told.
bool stream_position::has_other_weights(const stream_event& next) const {
    const auto made_with = next.weight_version ? next.weight_version : run_weight_version_;
    return made_with && weight_version_ &&
           (*made_with < *weight_version_ || (*made_with > *weight_version_ && !next.weight_version));
}

/// Whether a number is lower than the last one, or an event has that of the event before.
bool stream_position::goes_back(const stream_event& next) const {
    const auto number = next.id ? number_of(*next.id) : std::nullopt;
    if (!number || !last_number_) {
        return false;
    }
    return *number < *last_number_ || (next.has_data && number == number_of(id_of_last_event_));
}

std::optional<sequence_fault> stream_position::find_fault_between_runs(const stream_event& next) const {
    if (!next.id || next.id->empty()) {
        return next.is_final ? std::nullopt : std::optional{sequence_fault::unnumbered};
    }
    if (repeats_between_runs(next)) {
        return sequence_fault::repeated;
    }
    const auto last = number_of(last_event_id_);
    const auto number = number_of(*next.id);
    if (!is_consecutive() || !last) {
        return std::nullopt;
    }
    if (!number) {
        return sequence_fault::unnumbered;
    }
    return *number - *last > 1 ? std::optional{sequence_fault::omitted} : std::nullopt;
}

/// Whether an event, or a block that does not just name the place where the run begins, has the
/// identifier of an event that the caller has.
bool stream_position::repeats_between_runs(const stream_event& next) const {
    const bool is_known = *next.id == id_of_last_event_ || *next.id == first_event_id_;
    return is_known && (next.has_data || *next.id != last_event_id_);
}

void stream_position::advance(const stream_event& next) {
    if (run_events_ == 0 && run_weight_version_) {
        weight_version_ = run_weight_version_;
    }
    if (next.weight_version) {
        weight_version_ = next.weight_version;
    }
    if (next.id) {
        move_behind(*next.id);
    }
    if (!next.has_data) {
        // One that names the last event again says nothing of events without identifier behind it.
        last_event_has_id_ =
            last_event_id_ == id_of_last_event_ ? last_event_has_id_ : !last_event_id_.empty();
        return;
    }
    const std::string id = next.id.value_or("");
    run_is_numbered_ = run_is_numbered_ && (next.is_final || number_of(id).has_value());
    runs_with_events_ += run_events_ == 0 ? 1 : 0;
    first_event_id_ = events_ == 0 ? id : first_event_id_;
    run_first_event_id_ = run_events_ == 0 ? id : run_first_event_id_;
    id_of_last_event_ = id.empty() ? id_of_last_event_ : id;
    ++events_;
    ++run_events_;
    has_events_ = true;
    last_event_has_id_ = !id.empty();
    is_final_ = is_final_ || next.is_final;
}

std::optional<stream_numbering> stream_position::shown_numbering(bool is_whole) const {
    if (!run_is_numbered_) {
        return stream_numbering::with_gaps;
    }
    const bool is_of_one_run = !is_taken_up_ && runs_with_events_ == 1;
    const bool is_shown = is_whole && is_of_one_run && has_step_of_one_ && !has_other_step_;
    return is_shown ? std::optional{stream_numbering::consecutive} : std::nullopt;
}

void stream_position::move_behind(const std::string& id) {
    const auto last = number_of(last_event_id_);
    const auto number = number_of(id);
    if (last && number && *number != *last) {
        has_step_of_one_ = has_step_of_one_ || *number - *last == 1;
        has_other_step_ = has_other_step_ || *number - *last != 1;
    }
    if (number && run_last_number_ && *number != *run_last_number_) {
        run_is_numbered_ = run_is_numbered_ && *number - *run_last_number_ == 1;
    }
    run_last_number_ = number ? number : run_last_number_;
    last_event_id_ = id;
    last_number_ = id.empty() ? last_number_ : number;
    has_other_ids_ = has_other_ids_ || (!id.empty() && !number);
}

} // namespace citronwick
