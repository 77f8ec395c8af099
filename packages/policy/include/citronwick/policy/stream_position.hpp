#ifndef CITRONWICK_POLICY_STREAM_POSITION_HPP_INCLUDED
#define CITRONWICK_POLICY_STREAM_POSITION_HPP_INCLUDED

#include "citronwick/policy/sequence_fault.hpp"
#include "citronwick/policy/stream_numbering.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace citronwick {

struct stream_event;

/// Place in a stream behind the events that a caller has, through whichever runs they came.
///
/// Identifiers that are decimal numbers increase within a stream. Where others occur as well, all
/// are compared for equality only, as some texts consist of digits by chance.
///
/// A block without data moves the identifier behind which a run goes on. It is not counted, and
/// may name the event before or behind it.
///
/// The weights of a model may change within a run, which says so. A caller is told of no change
/// between two runs, since a response keeps the header of its first one, so a run goes on with the
/// weights of the last event.
class stream_position {
public:
    /// The beginning of a stream.
    stream_position() = default;

    /// A place behind an event that the caller has from an earlier request.
    /// @param last_event_id empty for the beginning of the stream
    explicit stream_position(std::string last_event_id);

    /// Begins to count the events of another run.
    /// @param known how its upstream numbers events; empty if that is not known
    /// @param weight_version with which it begins, as its header says; none if that names none
    void begin_run(std::optional<stream_numbering> known = std::nullopt,
                   std::optional<std::uint64_t> weight_version = std::nullopt);

    /// Why an event cannot come next: it would be joined to events that it does not follow.
    /// The first event of a run is compared with the last one of the run before.
    std::optional<sequence_fault> find_fault(const stream_event& next) const;

    /// Moves behind the event that comes next.
    void advance(const stream_event& next);

    /// Identifier that was set last, empty if there is none.
    const std::string& last_event_id() const { return last_event_id_; }

    /// Whether another run can go on here without repeating or omitting an event: this is the
    /// beginning, or the last event has an identifier.
    bool is_resumable() const { return !has_events_ || last_event_has_id_; }

    /// Version of the weights with which the last event was made, none if it is not known.
    std::optional<std::uint64_t> weight_version() const { return weight_version_; }

    /// Whether the final event is among the events.
    bool is_final() const { return is_final_; }

    /// Number of events since the construction.
    std::uint64_t events() const { return events_; }

    /// Identifier of the first event since the construction, empty if it has none.
    const std::string& first_event_id() const { return first_event_id_; }

    /// Number of events of the run.
    std::uint64_t run_events() const { return run_events_; }

    /// Identifier of the run's first event, empty if it has none.
    const std::string& run_first_event_id() const { return run_first_event_id_; }

    /// How the upstream of the last run numbers events, as far as the events since the construction
    /// tell. Gaps show within any run, their absence only in a whole stream of one run.
    /// @param is_whole whether the end of the stream is proved
    std::optional<stream_numbering> shown_numbering(bool is_whole) const;

private:
    bool goes_back(const stream_event& next) const;
    std::optional<sequence_fault> find_fault_between_runs(const stream_event& next) const;
    bool repeats_between_runs(const stream_event& next) const;
    bool has_other_weights(const stream_event& next) const;
    void move_behind(const std::string& id);
    bool is_consecutive() const {
        const bool is_known = known_numbering_ == stream_numbering::consecutive;
        return (has_step_of_one_ || is_known) && !has_other_step_ && !has_other_ids_;
    }

    std::string first_event_id_;
    std::string run_first_event_id_;
    std::string last_event_id_;    ///< set by an event or by a block without data
    std::string id_of_last_event_; ///< of the last event that has one
    std::uint64_t events_ = 0;
    std::uint64_t run_events_ = 0;
    bool has_events_ = false;
    bool last_event_has_id_ = false;
    std::optional<std::uint64_t> last_number_;        ///< of the last identifier that is not empty
    std::optional<std::uint64_t> weight_version_;     ///< of the last event
    std::optional<std::uint64_t> run_weight_version_; ///< with which the run begins
    bool is_final_ = false;
    bool has_step_of_one_ = false; ///< between the numbers of two events
    bool has_other_step_ = false;
    bool has_other_ids_ = false; ///< some that are no numbers
    bool is_taken_up_ = false;   ///< the caller has events from an earlier request
    std::uint64_t runs_with_events_ = 0;
    bool run_is_numbered_ = true;                     ///< by consecutive numbers, all events so far
    std::optional<std::uint64_t> run_last_number_;    ///< of the last identifier of the run
    std::optional<stream_numbering> known_numbering_; ///< of the run's upstream
};

} // namespace citronwick

#endif
