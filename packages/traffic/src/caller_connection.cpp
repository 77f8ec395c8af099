#include "citronwick/traffic/caller_connection.hpp"

#include <utility>

namespace citronwick {

namespace {

/// Bounds the time for which a caller that keeps sending requests delays the stop.
constexpr std::size_t max_responses_while_stopping = 16;

} // namespace

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket,
                                     const std::atomic<bool>& is_stopping)
    : stream_{std::move(socket)}, is_stopping_{is_stopping} {}

boost::system::error_code caller_connection::receive_input() {
    constexpr std::size_t read_bytes = 4'096;
    boost::system::error_code error;
    stream_.socket().non_blocking(true, error);
    const auto space = input_.prepare(read_bytes);
    input_.commit(stream_.socket().read_some(space, error));
    return error;
}

bool caller_connection::ends_after_response() {
    if (!is_stopping_) {
        return false;
    }
    ++responses_while_stopping_;
    return responses_while_stopping_ >= max_responses_while_stopping || !has_input();
}

bool caller_connection::has_input() {
    boost::system::error_code ignored;
    return input_.size() > 0 || stream_.socket().available(ignored) > 0;
}

} // namespace citronwick
