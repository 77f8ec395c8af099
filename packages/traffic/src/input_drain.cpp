#include "input_drain.hpp"

#include <array>

namespace citronwick {

task<void> drain_input(boost::beast::tcp_stream& stream) {
    constexpr std::chrono::seconds drain_timeout{1};
    std::array<char, 4096> discarded{};
    boost::system::error_code ignored;
    stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    stream.expires_after(drain_timeout);
    while (true) {
        const auto space = asio::buffer(discarded);
        auto [error, size] = co_await stream.async_read_some(space, use_tuple);
        if (error) {
            co_return;
        }
    }
}

} // namespace citronwick
