#ifndef CITRONWICK_TESTS_STANDIN_FAULT_PROXY_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_FAULT_PROXY_HPP_INCLUDED

#include "standin_server.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick::standin {

/// Proxy that injects network faults, for TCP and UDP on the same port number.
/// Faults are set by POST /standin/fault on a second port.
class fault_proxy {
public:
    fault_proxy(asio::io_context& context, const std::string& ip);

    endpoint address() const;
    endpoint control_address() const { return control_.address(); }

private:
    /// Active faults. Byte counts are per connection; -1 means no limit.
    struct faults {
        bool refuse = false;              ///< open and new connections are closed, datagrams dropped
        bool blackhole = false;           ///< open connections stop forwarding for good; new ones work
        bool drop_responses = false;      ///< bytes to the target are forwarded, bytes back are discarded
        bool pass_resets = false;         ///< a reset closes the other connection by a reset, too
        bool hold_responses = false;      ///< bytes back are kept until the fault ends
        std::int64_t cut_after_up = -1;   ///< close the connection after this many bytes to the target
        std::int64_t cut_after_down = -1; ///< close the connection after this many bytes from the target
        std::chrono::milliseconds delay{0};
        /// Silence of a connection, once, during which it holds back the bytes of both directions
        std::chrono::milliseconds silence{0};
        std::int64_t silent_after_up = -1;     ///< begins behind this many bytes to the target
        std::int64_t silent_after_down = -1;   ///< or behind this many bytes from the target
        std::set<std::string> refused_sources; ///< source addresses whose traffic is refused
        /// Source addresses whose new connections are reset when they have been accepted; open ones live on.
        std::set<std::string> newly_refused_sources;
        /// Source addresses whose bytes, ends of connections included, are kept in both directions until
        /// the fault ends.
        std::set<std::string> held_sources;
    };

    /// A connection from a caller and the one to the target that carries its bytes.
    struct connection_pair {
        explicit connection_pair(asio::io_context& context) : caller{context}, target{context} {}
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket target;
        std::string source; ///< address of the caller
        bool blackholed = false;
        bool was_silent = false; ///< by the active faults
        time_point silent_until;
        std::int64_t bytes_up = 0; ///< to the target since the faults were set
        std::int64_t bytes_down = 0;
        void close();
    };

    task<bool> handle_control(boost::beast::tcp_stream& stream, http_request request);
    void bind(const std::string& ip);
    task<void> accept();
    task<void> connect(std::shared_ptr<connection_pair> pair);
    task<void> forward_bytes(std::shared_ptr<connection_pair> pair, bool to_target);
    task<std::size_t> write_around_silence(std::shared_ptr<connection_pair> pair, bool to_target,
                                           std::string_view bytes);
    task<void> wait_while_held(std::shared_ptr<connection_pair> pair) const;
    task<void> relay_datagrams();
    void apply_faults(const boost::json::object& fault_settings);
    void drop_packets(const std::vector<std::string>& sources);
    bool is_refused(const std::string& source) const;

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::udp::socket datagrams_;
    endpoint target_;
    faults faults_;
    std::set<std::shared_ptr<connection_pair>> connections_;
    std::array<char, 65'536> datagram_{};
    std::int64_t bytes_up_ = 0;
    standin_server control_;
};

} // namespace citronwick::standin

#endif
