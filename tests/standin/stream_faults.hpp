#ifndef CITRONWICK_TESTS_STANDIN_STREAM_FAULTS_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_STREAM_FAULTS_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace citronwick::standin {

/// What a worker does to its event streams. A run keeps the faults with which it began.
struct stream_faults {
    static constexpr std::chrono::milliseconds default_event_gap{10};

    std::chrono::milliseconds event_gap{default_event_gap}; ///< before each event or segment
    std::int64_t cut_after_events = 0;   ///< events before a stream is cut within the next one, 0 for never
    std::int64_t close_after_events = 0; ///< events before a stream ends between two of them, 0 for never
    std::int64_t omitted_events = 0; ///< that a resumed run leaves out at its beginning; it has the last one
    bool omits_if_known = false;     ///< only behind two events that the same request brought
    bool begins_anew = false;        ///< resumed runs begin with the first event
    bool is_unframed = false;    ///< streams have neither a length nor chunks and end with their connection
    std::size_t event_bytes = 0; ///< by which the data of events is longer
    std::size_t segment_bytes =
        0; ///< sent at a time, wherever events begin and end; 0 for an event at a time
    std::string
        event_format; ///< "compact", "crlf", "cr", "unnumbered" or "id_behind"; empty for the usual one
    bool answers_early = false; ///< before it has read the body of the request, which it then never reads
    bool resets = false;        ///< connections that it closes
    std::string numbering;      ///< of the events: "strided", "sparse", or empty for consecutive numbers
    std::int64_t weights = 0;   ///< version of the weights that its responses and events name, 0 for none
    std::int64_t newer_weights_at = 0; ///< event at which the next version of the weights begins, 0 for none
    bool ignores_expected_weights = false; ///< requests that expect other weights run
    std::string only_path;                 ///< part of the paths that are affected, empty for all
};

} // namespace citronwick::standin

#endif
