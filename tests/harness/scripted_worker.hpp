#ifndef CITRONWICK_TESTS_HARNESS_SCRIPTED_WORKER_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_SCRIPTED_WORKER_HPP_INCLUDED

#include "node.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace citronwick::harness {

/// A worker in the test's process whose use of each connection is written by the test.
class scripted_worker {
public:
    /// Serves one connection with blocking calls; the connection is closed when it returns or throws.
    using script = std::function<void(boost::asio::ip::tcp::socket& connection)>;

    /// @param receive_buffer size of the kernel's receive buffer in bytes, 0 for the usual one
    scripted_worker(const std::string& name, script serve, int receive_buffer = 0);
    scripted_worker(const scripted_worker&) = delete;
    scripted_worker& operator=(const scripted_worker&) = delete;
    ~scripted_worker();

    /// Name and address, for `routed_fleet::register_worker`.
    const node& entry() const { return entry_; }

private:
    struct state;
    node entry_;
    std::shared_ptr<state> state_;
};

/// Reads up to the end of a request's header.
/// @param rest receives what came after it
/// @return the header
std::string read_request_header(boost::asio::ip::tcp::socket& connection, std::string& rest);

/// Reads a whole request whose length field states the size of its body.
/// @return its header
std::string read_request(boost::asio::ip::tcp::socket& connection);

/// Value of a header field, empty if there is none.
std::string field_of(const std::string& header, const std::string& name);

/// Header of a worker's response to a request, without the empty line.
std::string response_header(const std::string& request_header);

} // namespace citronwick::harness

#endif
