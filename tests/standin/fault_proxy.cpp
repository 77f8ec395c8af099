#include "fault_proxy.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

namespace citronwick::standin {

namespace {

using boost::beast::tcp_stream;
using namespace std::chrono_literals;

std::int64_t byte_limit(const boost::json::object& fault_settings, std::string_view name) {
    return fault_settings.contains(name) ? integer_member(fault_settings, name) : -1;
}

/// Packet filter that drops what comes from some IPv4 addresses.
std::vector<sock_filter> drop_filter(const std::vector<std::string>& sources) {
    constexpr int source_offset = 12; // in the IPv4 header
    std::vector<sock_filter> program{
        {BPF_LD | BPF_W | BPF_ABS, 0, 0, static_cast<std::uint32_t>(SKF_NET_OFF + source_offset)}};
    auto jump = static_cast<std::uint8_t>(sources.size());
    for (const std::string& source : sources) {
        program.push_back(
            {BPF_JMP | BPF_JEQ | BPF_K, jump--, 0, asio::ip::make_address_v4(source).to_uint()});
    }
    program.push_back({BPF_RET | BPF_K, 0, 0, 0xffff'ffff});
    program.push_back({BPF_RET | BPF_K, 0, 0, 0});
    return program;
}

} // namespace

void fault_proxy::connection_pair::close() {
    boost::system::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
}

fault_proxy::fault_proxy(asio::io_context& context, const std::string& ip)
    : context_{context}, acceptor_{context}, datagrams_{context},
      control_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                   return handle_control(stream, std::move(request));
               }} {
    bind(ip);
    asio::co_spawn(context_, accept(), asio::detached);
    asio::co_spawn(context_, relay_datagrams(), asio::detached);
}

/// Binds TCP and UDP to one port number. Retries, because a free TCP port may be in use for UDP.
void fault_proxy::bind(const std::string& ip) {
    const auto address = asio::ip::make_address(ip);
    datagrams_.open(asio::ip::udp::v4());
    boost::system::error_code error;
    do {
        acceptor_ = asio::ip::tcp::acceptor{context_, {address, 0}};
        datagrams_.bind({address, acceptor_.local_endpoint().port()}, error);
    } while (error);
}

endpoint fault_proxy::address() const {
    return to_endpoint(acceptor_.local_endpoint());
}

void fault_proxy::apply_faults(const boost::json::object& fault_settings) {
    faults_ = {.refuse = integer_member(fault_settings, "refuse") != 0,
               .blackhole = integer_member(fault_settings, "blackhole") != 0,
               .drop_responses = integer_member(fault_settings, "drop_answers") != 0,
               .pass_resets = integer_member(fault_settings, "pass_resets") != 0,
               .hold_responses = integer_member(fault_settings, "hold_answers") != 0,
               .cut_after_up = byte_limit(fault_settings, "cut_after_up"),
               .cut_after_down = byte_limit(fault_settings, "cut_after_down"),
               .delay = std::chrono::milliseconds{integer_member(fault_settings, "delay_ms")},
               .silence = std::chrono::milliseconds{integer_member(fault_settings, "silence_ms")},
               .silent_after_up = byte_limit(fault_settings, "silent_after_up"),
               .silent_after_down = byte_limit(fault_settings, "silent_after_down")};
    const auto sources = string_array_member(fault_settings, "refused_sources");
    faults_.refused_sources = {sources.begin(), sources.end()};
    const auto newly_refused = string_array_member(fault_settings, "newly_refused_sources");
    faults_.newly_refused_sources = {newly_refused.begin(), newly_refused.end()};
    const auto held = string_array_member(fault_settings, "held_sources");
    faults_.held_sources = {held.begin(), held.end()};
    drop_packets(string_array_member(fault_settings, "dropped_sources"));
    const auto silenced = string_array_member(fault_settings, "silenced_sources");
    for (const auto& pair : connections_) {
        const std::string& source = pair->source;
        const bool is_silenced = std::ranges::find(silenced, source) != silenced.end();
        pair->blackholed = pair->blackholed || faults_.blackhole || is_silenced;
        pair->was_silent = false;
        pair->bytes_up = 0;
        pair->bytes_down = 0;
        if (faults_.refuse || is_refused(source)) {
            pair->close();
        }
    }
}

/// Drops the packets from some addresses in the kernel, so that connects from there and open
/// connections hang.
void fault_proxy::drop_packets(const std::vector<std::string>& sources) {
    auto program = drop_filter(sources);
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    const auto apply = [&](int socket) {
        if (sources.empty()) {
            const int unused = 0;
            ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
        } else {
            ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
        }
    };
    apply(acceptor_.native_handle());
    std::ranges::for_each(connections_, [&](const auto& pair) { apply(pair->caller.native_handle()); });
}

bool fault_proxy::is_refused(const std::string& source) const {
    return faults_.refuse || faults_.refused_sources.contains(source);
}

task<bool> fault_proxy::handle_control(tcp_stream& stream, http_request request) {
    const auto fault_settings = parse_json_object(request.body()).value_or(boost::json::object{});
    if (const auto target = parse_endpoint(string_member(fault_settings, "target"))) {
        target_ = *target;
    } else if (request.target() == "/standin/fault") {
        apply_faults(fault_settings);
    }
    boost::json::object status{{"links", connections_.size()}, {"bytes_up", bytes_up_}};
    co_return co_await send_json(stream, std::move(status));
}

task<void> fault_proxy::accept() {
    while (true) {
        auto pair = std::make_shared<connection_pair>(context_);
        auto [error] = co_await acceptor_.async_accept(pair->caller, use_tuple);
        if (error) {
            continue;
        }
        boost::system::error_code ignored;
        pair->source = pair->caller.remote_endpoint(ignored).address().to_string();
        const std::string& source = pair->source;
        if (is_refused(source) || faults_.newly_refused_sources.contains(source)) {
            pair->caller.set_option(asio::socket_base::linger{true, 0}, ignored);
            pair->close();
            continue;
        }
        asio::co_spawn(context_, connect(std::move(pair)), asio::detached);
    }
}

task<void> fault_proxy::connect(std::shared_ptr<connection_pair> pair) {
    const auto address = to_tcp(target_);
    auto [error] = co_await pair->target.async_connect(address, use_tuple);
    if (error) {
        pair->close();
        co_return;
    }
    boost::system::error_code ignored;
    pair->target.set_option(asio::ip::tcp::no_delay{true}, ignored);
    pair->caller.set_option(asio::ip::tcp::no_delay{true}, ignored);
    connections_.insert(pair);
    asio::co_spawn(context_, forward_bytes(pair, true), asio::detached);
    asio::co_spawn(context_, forward_bytes(pair, false), asio::detached);
}

task<void> fault_proxy::forward_bytes(std::shared_ptr<connection_pair> pair, bool to_target) {
    auto& from = to_target ? pair->caller : pair->target;
    std::array<char, 16'384> buffer{};
    std::int64_t forwarded = 0;
    while (true) {
        const auto space = asio::buffer(buffer);
        auto [error, size] = co_await from.async_read_some(space, use_tuple);
        co_await wait_while_held(pair);
        if (error) {
            const bool is_passed = faults_.pass_resets && error == asio::error::connection_reset;
            boost::system::error_code ignored;
            auto& to = to_target ? pair->target : pair->caller;
            to.set_option(asio::socket_base::linger{is_passed, 0}, ignored);
            break;
        }
        if (!to_target && faults_.drop_responses) {
            continue;
        }
        if (faults_.delay.count() > 0) {
            co_await sleep_for(faults_.delay);
        }
        while (!to_target && faults_.hold_responses) {
            co_await sleep_for(5ms);
        }
        if (pair->blackholed) {
            continue;
        }
        const std::int64_t limit = to_target ? faults_.cut_after_up : faults_.cut_after_down;
        const auto allowed =
            limit < 0 ? size
                      : std::min<std::size_t>(
                            size, static_cast<std::size_t>(std::max<std::int64_t>(limit - forwarded, 0)));
        const std::string_view outgoing{buffer.data(), allowed};
        const std::size_t written = co_await write_around_silence(pair, to_target, outgoing);
        forwarded += static_cast<std::int64_t>(written);
        bytes_up_ += to_target ? static_cast<std::int64_t>(written) : 0;
        if (written < allowed || (limit >= 0 && forwarded >= limit)) {
            break;
        }
    }
    if (!pair->blackholed) {
        pair->close();
    }
    connections_.erase(pair);
}

task<void> fault_proxy::wait_while_held(std::shared_ptr<connection_pair> pair) const {
    while (faults_.held_sources.contains(pair->source)) {
        co_await sleep_for(5ms);
    }
}

/// Writes bytes, and holds back those behind the point at which the connection falls silent.
/// @return number of bytes that were written
task<std::size_t> fault_proxy::write_around_silence(std::shared_ptr<connection_pair> pair, bool to_target,
                                                    std::string_view bytes) {
    auto& to = to_target ? pair->target : pair->caller;
    std::int64_t& forwarded = to_target ? pair->bytes_up : pair->bytes_down;
    std::size_t total = 0;
    while (true) {
        while (clock::now() < pair->silent_until) {
            co_await sleep_for(
                std::chrono::ceil<std::chrono::milliseconds>(pair->silent_until - clock::now()));
        }
        const std::int64_t begin = to_target ? faults_.silent_after_up : faults_.silent_after_down;
        const auto left = static_cast<std::int64_t>(bytes.size() - total);
        const bool falls_silent = begin >= 0 && !pair->was_silent && forwarded + left >= begin;
        const auto size =
            static_cast<std::size_t>(falls_silent ? std::max(begin - forwarded, std::int64_t{0}) : left);
        const auto outgoing = asio::buffer(bytes.substr(total, size));
        auto [error, written] = co_await asio::async_write(to, outgoing, use_tuple);
        forwarded += static_cast<std::int64_t>(written);
        total += written;
        if (falls_silent) {
            pair->was_silent = true;
            pair->silent_until = clock::now() + faults_.silence;
        }
        if (error || total == bytes.size()) {
            co_return total;
        }
    }
}

task<void> fault_proxy::relay_datagrams() {
    while (true) {
        asio::ip::udp::endpoint sender;
        const auto space = asio::buffer(datagram_);
        auto [error, size] = co_await datagrams_.async_receive_from(space, sender, use_tuple);
        if (error || target_.port == 0 || is_refused(sender.address().to_string())) {
            continue;
        }
        const asio::ip::udp::endpoint target{asio::ip::make_address(target_.ip), target_.port};
        boost::system::error_code ignored;
        datagrams_.send_to(asio::buffer(datagram_, size), target, 0, ignored);
    }
}

} // namespace citronwick::standin
