#ifndef CITRONWICK_POLICY_BUFFER_RESERVATION_HPP_INCLUDED
#define CITRONWICK_POLICY_BUFFER_RESERVATION_HPP_INCLUDED

#include <array>
#include <cstddef>
#include <cstdint>

namespace citronwick {

class buffer_budget;

/// What a request buffers.
enum class buffer_part : std::uint8_t { request, response };

/// The bytes that one request buffers, counted against the budget of the process.
class buffer_reservation {
public:
    explicit buffer_reservation(buffer_budget& budget) : budget_{budget} {}
    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;
    ~buffer_reservation();

    /// Changes the size of a part.
    /// @return false if it does not fit; the part then keeps its size
    bool resize(buffer_part part, std::size_t bytes);

private:
    std::size_t held() const;

    buffer_budget& budget_;
    std::array<std::size_t, 2> parts_{};
};

} // namespace citronwick

#endif
