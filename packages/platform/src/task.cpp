#include "citronwick/platform/task.hpp"

namespace citronwick {

asio::ip::tcp::endpoint to_tcp(const endpoint& value) {
    return {asio::ip::make_address(value.ip), value.port};
}

endpoint to_endpoint(const asio::ip::tcp::endpoint& value) {
    return {value.address().to_string(), value.port()};
}

} // namespace citronwick
