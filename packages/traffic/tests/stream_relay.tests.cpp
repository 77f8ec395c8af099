// What a caller gets of a stream that several runs relay, against a model: the events of one sound
// run, in order and once each, however their bytes are formed, split and cut.

#include "citronwick/policy/stream_position.hpp"
#include "citronwick/traffic/event_sequence.hpp"
#include "citronwick/traffic/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <doctest/doctest.h>
#include <functional>
#include <iterator>
#include <optional>
#include <ranges>
#include <rapidcheck.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace citronwick;

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

/// An event as a worker means it and as a caller reads it.
struct event {
    std::optional<std::string> id;
    std::vector<std::string> data; ///< one element a line

    bool has_id() const { return id && !id->empty(); }
    bool operator==(const event&) const = default;
};

using event_list = std::vector<event>;

std::string text_of(const event_list& events) {
    std::string text;
    for (const event& each : events) {
        text += each.id ? " [" + *each.id + "]" : " -";
        text += each.data.front();
    }
    return text;
}

std::optional<std::int64_t> number_of(const event& numbered) {
    std::int64_t number = 0;
    const std::string& id = numbered.id.value_or("");
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    return error == std::errc{} && end == id.data() + id.size() ? std::optional{number} : std::nullopt;
}

bool one_in(int cases) {
    return *rc::gen::inRange(0, cases) == 0;
}

std::size_t number_below(std::size_t limit) {
    return *rc::gen::inRange<std::size_t>(0, limit);
}

// ----- streams

/// The events of one sound run.
struct stream {
    event_list events;
    bool is_numeric = true;
};

std::string make_id(bool is_numeric, std::int64_t number) {
    return (is_numeric ? "" : "piece-") + std::to_string(number);
}

stream make_stream() {
    constexpr std::size_t max_events = 12;
    constexpr std::size_t max_lines = 3;
    stream made{.is_numeric = *rc::gen::arbitrary<bool>()};
    const auto first = *rc::gen::element<std::int64_t>(0, 1, 95);
    const auto step = *rc::gen::element<std::int64_t>(1, 1, 5);
    const auto unnumbered = *rc::gen::element(0, 0, 4);
    const auto count = number_below(max_events);
    for (std::size_t index = 0; index < count; ++index) {
        event next;
        if (unnumbered == 0 || !one_in(unnumbered)) {
            next.id = make_id(made.is_numeric, first + (step * static_cast<std::int64_t>(index)));
        } else if (one_in(2)) {
            next.id = "";
        }
        next.data = {"piece " + std::to_string(index)};
        next.data.resize(1 + number_below(max_lines));
        made.events.push_back(std::move(next));
    }
    return made;
}

// ----- the bytes of a run

/// Writes the events of a run in one of the forms that text/event-stream allows.
class event_writer {
public:
    /// @param last_id of the event before, empty if there is none
    std::string write(const event_list& events, const std::string& last_id) {
        // A response of a mark alone is left out: the splitter takes it for an incomplete event.
        text_ = !events.empty() && one_in(4) ? byte_order_mark : std::string_view{};
        write_id_alone(last_id);
        std::ranges::for_each(events, [this](const event& each) { write_event(each); });
        if (one_in(4)) {
            write_line(": the last comment");
            end_line();
        }
        return std::exchange(text_, {});
    }

private:
    void write_event(const event& written) {
        if (one_in(8)) {
            end_line();
        }
        if (one_in(8)) {
            write_line(": a comment that is no event");
            end_line();
        }
        const bool is_id_first = *rc::gen::arbitrary<bool>();
        if (is_id_first) {
            write_id(written);
        }
        std::ranges::for_each(written.data, [this](const std::string& line) {
            write_field("data", line);
            if (one_in(8)) {
                write_line(":");
            }
        });
        if (!is_id_first) {
            write_id(written);
        }
        if (one_in(8)) {
            write_field("retry", "100");
        }
        end_line();
        write_id_alone(written.id.value_or(""));
    }

    /// Writes a block that sets the last identifier and is no event.
    void write_id_alone(const std::string& id) {
        if (!id.empty() && one_in(4)) {
            write_field("id", id);
            end_line();
        }
    }

    void write_id(const event& written) {
        if (!written.id) {
            return;
        }
        if (one_in(16)) {
            write_field("id", "1, which the next line replaces");
        }
        write_field("id", *written.id);
    }

    void write_field(std::string_view name, std::string_view value) {
        const bool has_colon = !value.empty() || *rc::gen::arbitrary<bool>();
        const bool has_space = has_colon && *rc::gen::arbitrary<bool>();
        write_line(std::string{name} + (has_colon ? ":" : "") + (has_space ? " " : "") + std::string{value});
    }

    void write_line(std::string_view line) {
        text_ += line;
        end_line();
    }

    void end_line() { text_ += line_end_; }

    std::string text_;
    std::string line_end_ = *rc::gen::element<std::string>("\n", "\r", "\r\n");
};

// ----- what a caller reads, by the specification of text/event-stream

std::vector<std::string> split_lines(std::string_view text) {
    std::vector<std::string> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find_first_of("\r\n"), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
        text.remove_prefix(text.starts_with("\r\n") ? 2 : std::min<std::size_t>(1, text.size()));
    }
    return lines;
}

event_list read_events(std::string_view text) {
    text.remove_prefix(text.starts_with(byte_order_mark) ? byte_order_mark.size() : 0);
    event_list read;
    event next;
    for (const std::string& line : split_lines(text)) {
        const auto colon = std::min(line.find(':'), line.size());
        const std::string name = line.substr(0, colon);
        std::string value = line.substr(std::min(colon + 1, line.size()));
        value.erase(0, value.starts_with(' ') ? 1 : 0);
        if (line.empty()) {
            if (!next.data.empty()) {
                read.push_back(next);
            }
            next = {};
        } else if (name == "data") {
            next.data.push_back(value);
        } else if (name == "id") {
            next.id = value;
        }
    }
    return read;
}

// ----- relaying, as the router composes it

/// What a caller has, and the state from which the router relays.
struct relayed_stream {
    event_splitter splitter;
    stream_position position;
    std::string delivered;

    /// Relays bytes in random pieces.
    /// @return whether all of them were relayed: no event could not come next, and no write was refused
    bool relay(std::string_view bytes, bool has_refusals) {
        constexpr std::size_t max_piece = 60;
        const auto piece_limit = 1 + number_below(max_piece);
        while (!bytes.empty()) {
            const auto size = std::min(1 + number_below(piece_limit), bytes.size());
            auto arrived = splitter.push(bytes.substr(0, size));
            bytes.remove_prefix(size);
            const auto fault = remove_faulty_events(arrived, position);
            if (!arrived.bytes.empty() && has_refusals && one_in(6)) {
                return false;
            }
            delivered += arrived.bytes;
            std::ranges::for_each(arrived.events,
                                  [this](const stream_event& each) { position.advance(each); });
            if (fault) {
                return false;
            }
        }
        return splitter.pending_bytes() == 0;
    }

    void begin_run() {
        splitter.discard_pending();
        position.begin_run();
    }
};

// ----- runs behind the events that a caller has

enum class run_kind : std::uint8_t {
    goes_on,
    begins_anew,
    repeats_last,
    begins_within,
    omits,
    goes_back,
};

event_list slice(const event_list& events, std::size_t first, std::size_t last) {
    return {std::next(events.begin(), static_cast<std::ptrdiff_t>(first)),
            std::next(events.begin(), static_cast<std::ptrdiff_t>(last))};
}

event_list from(const event_list& events, std::size_t first) {
    return slice(events, first, events.size());
}

/// Whether the numbers of a caller's events show that each is one above the one before.
bool is_consecutive(const event_list& delivered) {
    event_list numbered;
    std::ranges::copy_if(delivered, std::back_inserter(numbered), &event::has_id);
    return numbered.size() > 1 &&
           std::ranges::adjacent_find(numbered, [](const event& left, const event& right) {
               return *number_of(right) - *number_of(left) != 1;
           }) == numbered.end();
}

/// The kinds of faulty runs that identifiers show.
std::vector<run_kind> possible_kinds(const stream& sent, std::size_t count) {
    std::vector<run_kind> kinds(2, run_kind::goes_on);
    if (count > 0) {
        kinds.insert(kinds.end(), {run_kind::begins_anew, run_kind::repeats_last});
    }
    if (sent.is_numeric && count > 1) {
        kinds.push_back(run_kind::begins_within);
    }
    const auto delivered = slice(sent.events, 0, count);
    if (sent.is_numeric && count + 1 < sent.events.size() && sent.events.at(count).has_id() &&
        is_consecutive(delivered)) {
        kinds.push_back(run_kind::omits);
    }
    if (sent.is_numeric && count < sent.events.size()) {
        kinds.push_back(run_kind::goes_back);
    }
    return kinds;
}

/// A run that sends some events, and then again from one that has a number.
event_list go_back(const event_list& events, std::size_t count) {
    const auto last = count + 1 + number_below(events.size() - count);
    auto sent = slice(events, count, last);
    std::vector<std::size_t> targets;
    std::ranges::copy_if(std::views::iota(std::size_t{0}, last), std::back_inserter(targets),
                         [&](std::size_t index) { return events.at(index).has_id(); });
    if (!targets.empty()) {
        const auto again = from(events, *rc::gen::elementOf(targets));
        sent.insert(sent.end(), again.begin(), again.end());
    }
    return sent;
}

/// The events of a run that is asked to go on behind the first `count` ones.
event_list make_run(const event_list& events, std::size_t count, run_kind kind) {
    switch (kind) {
    case run_kind::begins_anew:
        return events;
    case run_kind::repeats_last:
        return from(events, count - 1);
    case run_kind::begins_within:
        return from(events, 1 + number_below(count - 1));
    case run_kind::omits:
        return from(events, count + 1 + number_below(events.size() - count - 1));
    case run_kind::goes_back:
        return go_back(events, count);
    case run_kind::goes_on:
        break;
    }
    return from(events, count);
}

bool is_beginning(const event_list& part, const event_list& whole) {
    return part.size() <= whole.size() && std::ranges::equal(part, slice(whole, 0, part.size()));
}

std::string first_bytes(const std::string& bytes) {
    return one_in(2) ? bytes : bytes.substr(0, number_below(bytes.size() + 1));
}

void check_position(const stream_position& position, const event_list& delivered) {
    RC_ASSERT(position.events() == delivered.size());
    RC_ASSERT(position.is_resumable() == (delivered.empty() || delivered.back().has_id()));
    if (!delivered.empty() && delivered.back().has_id()) {
        RC_ASSERT(position.last_event_id() == *delivered.back().id);
    }
}

/// Relays a stream through several runs and checks what the caller has after each.
void check_relayed_runs(const stream& sent) {
    constexpr int max_runs = 5;
    relayed_stream relayed;
    event_list delivered;
    for (int run = 0; run < max_runs && relayed.position.is_resumable(); ++run) {
        const auto kind = *rc::gen::elementOf(possible_kinds(sent, delivered.size()));
        const auto events = make_run(sent.events, delivered.size(), kind);
        const auto bytes = event_writer{}.write(events, relayed.position.last_event_id());
        const auto arriving = first_bytes(bytes);
        const bool has_refusals = one_in(2);
        const bool is_unnumbered = !delivered.empty() && !events.empty() && !events.front().has_id();
        relayed.begin_run();
        const bool is_relayed = relayed.relay(arriving, has_refusals);
        delivered = read_events(relayed.delivered);
        RC_LOG() << "run:" << text_of(events) << "\ncaller:" << text_of(delivered) << '\n';
        RC_ASSERT(is_beginning(delivered, sent.events));
        check_position(relayed.position, delivered);
        const bool is_undisturbed = arriving == bytes && !has_refusals;
        if (kind == run_kind::goes_on && is_undisturbed && !is_unnumbered) {
            RC_ASSERT(is_relayed);
            RC_ASSERT(delivered == sent.events);
        }
        if (run == 0 && is_relayed) {
            RC_ASSERT(relayed.delivered == arriving);
        }
    }
    RC_CLASSIFY(delivered == sent.events, "whole");
}

} // namespace

// Guards against events that are missing, come twice or are of two runs (ORDER).
TEST_CASE("a caller gets the events of one sound run in order, whatever the runs send") {
    CHECK(rc::check("several runs of one stream", [] { check_relayed_runs(make_stream()); }));
}
