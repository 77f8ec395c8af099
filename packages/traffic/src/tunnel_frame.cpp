#include "tunnel_frame.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/buffers.hpp>

namespace citronwick {

namespace {

/// Bounds what a connection that is not authenticated yet makes this router allocate.
constexpr std::uint16_t max_frame_bytes = 512;

using frame_length = boost::endian::big_uint16_buf_t;

} // namespace

task<io_result<void>> write_tunnel_frame(boost::beast::tcp_stream& stream, std::string sealed) {
    const frame_length length{static_cast<std::uint16_t>(sealed.size())};
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(&length, sizeof(length)),
                                                    asio::buffer(sealed)};
    auto [error, size] = co_await asio::async_write(stream, buffers, use_tuple);
    if (error) {
        co_return failure{"write tunnel message", {}, error.message()};
    }
    co_return io_result<void>{};
}

task<io_result<std::string>> read_tunnel_frame(boost::beast::tcp_stream& stream) {
    frame_length length{};
    const auto length_buffer = asio::buffer(&length, sizeof(length));
    auto [length_error, length_size] = co_await asio::async_read(stream, length_buffer, use_tuple);
    if (length_error || length.value() > max_frame_bytes) {
        co_return failure{"read tunnel message", {}, length_error ? length_error.message() : "too long"};
    }
    std::string sealed(length.value(), '\0');
    const auto body = asio::buffer(sealed);
    auto [error, size] = co_await asio::async_read(stream, body, use_tuple);
    if (error) {
        co_return failure{"read tunnel message", {}, error.message()};
    }
    co_return sealed;
}

} // namespace citronwick
