#include "citronwick/traffic/event_sequence.hpp"

#include "citronwick/policy/stream_position.hpp"
#include "citronwick/traffic/event_splitter.hpp"

namespace citronwick {

std::optional<sequence_fault> remove_faulty_events(complete_events& arrived, stream_position position) {
    std::size_t sound_bytes = 0;
    for (auto next = arrived.events.begin(); next != arrived.events.end(); ++next) {
        if (const auto fault = position.find_fault(*next)) {
            arrived.bytes.resize(sound_bytes);
            arrived.events.erase(next, arrived.events.end());
            return fault;
        }
        position.advance(*next);
        sound_bytes = next->end;
    }
    return std::nullopt;
}

} // namespace citronwick
