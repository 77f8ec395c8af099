#ifndef CITRONWICK_TESTS_STANDIN_METADATA_STORE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_METADATA_STORE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "standin_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace citronwick::standin {

/// Stand-in of the platform's metadata store: keys with revisions, listings,
/// watches, conditional writes and leases over HTTP. Its operator writes any
/// key by PUT /standin/key?NAME and removes it by DELETE.
class metadata_store {
public:
    metadata_store(asio::io_context& context, const std::string& ip);

    endpoint address() const { return server_.address(); }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        std::optional<item> now;
    };

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> operate(boost::beast::tcp_stream& stream, http_request request);
    task<bool> send(boost::beast::tcp_stream& stream, http::status status, std::string text);
    task<bool> watch(boost::beast::tcp_stream& stream, std::string target);
    boost::json::object answer(const http_request& request, http::status& status);
    boost::json::object read_key(const std::string& key, http::status& status) const;
    boost::json::object list(const std::string& target) const;
    boost::json::object transact(const boost::json::object& request, http::status& status);
    boost::json::object events_after(const std::string& prefix, std::int64_t revision) const;
    void put(const std::string& key, const std::string& value, std::int64_t lease);
    void remove(const std::string& key);
    void expire_leases();

    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1;
    std::int64_t forgotten_revision_ = 0; ///< history up to it is not kept
    std::map<std::string, item> items_;
    std::deque<event> history_;
    std::map<std::int64_t, time_point> leases_;
    std::string mode_ = "up"; ///< up, busy, reset, silent
    bool is_deaf_ = false;    ///< waiting watches hear of no change
    std::int64_t answers_to_lose_ = 0;
    std::chrono::milliseconds delay_{0};
    std::int64_t calls_ = 0;
    std::int64_t bytes_sent_ = 0;
    std::int64_t bytes_per_second_ = 0; ///< of the store's link, 0 for no bound
    time_point link_is_free_at_;
    standin_server server_;
};

} // namespace citronwick::standin

#endif
