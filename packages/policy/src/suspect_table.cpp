#include "citronwick/policy/suspect_table.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which a crash is held against a request.
constexpr duration memory = 10min;

} // namespace

std::uint8_t suspect_table::record_crash(fingerprint request, time_point now) {
    entry& known = entries_[request];
    known.crashes = static_cast<std::uint8_t>(crashes(request, now) + 1);
    known.last = now;
    return known.crashes;
}

bool suspect_table::merge(fingerprint request, std::uint8_t crashes, time_point now) {
    if (crashes <= this->crashes(request, now)) {
        return false;
    }
    entries_[request] = {crashes, now};
    return true;
}

std::uint8_t suspect_table::crashes(fingerprint request, time_point now) const {
    const auto found = entries_.find(request);
    return found == entries_.end() || now - found->second.last >= memory ? std::uint8_t{0}
                                                                         : found->second.crashes;
}

void suspect_table::expire(time_point now) {
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.last >= memory; });
}

} // namespace citronwick
