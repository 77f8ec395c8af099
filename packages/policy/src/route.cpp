#include "citronwick/policy/route.hpp"

#include <array>

namespace citronwick {

std::string_view to_text(request_kind value) {
    constexpr std::array<std::string_view, 4> names{"idempotent", "non-idempotent", "stream",
                                                    "resumable-stream"};
    return names.at(static_cast<std::size_t>(value));
}

bool is_repeatable(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

bool is_stream(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable_stream;
}

} // namespace citronwick
