#ifndef CITRONWICK_TESTS_STANDIN_FAULT_PROXY_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_FAULT_PROXY_HPP_INCLUDED

#include "standin_server.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>

namespace citronwick::standin {

/// Proxy that injects network faults, for TCP and UDP on one port. Faults are
/// set by POST /standin/fault on a second port.
class fault_proxy {
public:
    fault_proxy(asio::io_context& context, const std::string& ip);

    endpoint address() const;
    endpoint control_address() const { return control_.address(); }

private:
    /// Faults in force. Byte counts are per connection; -1 means no limit.
    struct faults {
        bool refuse = false;              ///< new connections are closed, datagrams dropped
        bool blackhole = false;           ///< open connections carry nothing any more; new ones work
        bool drop_answers = false;        ///< requests are forwarded, answers are not
        std::int64_t cut_after_up = -1;   ///< connection is cut after so many bytes to the target
        std::int64_t cut_after_down = -1; ///< and after so many bytes back
        std::chrono::milliseconds delay{0};
        std::set<std::string> refused_sources; ///< addresses cut off from the target
    };

    struct link {
        explicit link(asio::io_context& context) : caller{context}, target{context} {}
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket target;
        bool silent = false;
        void close();
    };

    task<bool> control(boost::beast::tcp_stream& stream, http_request request);
    void bind(const std::string& ip);
    task<void> accept();
    task<void> connect(std::shared_ptr<link> pair);
    task<void> pump(std::shared_ptr<link> pair, bool up);
    task<void> relay_datagrams();
    void apply(const boost::json::object& order);
    bool refuses(const std::string& source) const;

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::udp::socket datagrams_;
    endpoint target_;
    faults faults_;
    std::set<std::shared_ptr<link>> links_;
    std::array<char, 65'536> datagram_{};
    std::int64_t bytes_up_ = 0;
    standin_server control_;
};

} // namespace citronwick::standin

#endif
