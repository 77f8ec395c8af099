#ifndef CITRONWICK_TESTS_STANDIN_METADATA_STORE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_METADATA_STORE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "form_query.hpp"
#include "standin_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace citronwick::standin {

/// Stand-in for the platform's metadata store: keys with revisions, paged
/// listings, watches, conditional writes and leases over HTTP. Tests write any
/// key by PUT /standin/key?key=NAME and remove it by DELETE. POST /standin/fault with "copy"
/// takes a copy of the store, with "restore" it comes back from that copy, and "page_items"
/// is the largest number of items on a page of a listing.
class metadata_store {
public:
    metadata_store(asio::io_context& context, const std::string& ip);

    endpoint address() const { return server_.address(); }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t create_revision = 0;
        std::int64_t lease = 0;
    };
    /// A change in the history.
    struct event {
        std::string key;
        std::int64_t revision = 0;
        std::optional<item> new_item; ///< empty if the key was removed
    };

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> handle_control(boost::beast::tcp_stream& stream, http_request request, form_query query);
    task<bool> send(boost::beast::tcp_stream& stream, http::status status, std::string text);
    task<bool> watch(boost::beast::tcp_stream& stream, form_query query);
    boost::json::object respond(const http_request& request, const form_query& query, http::status& status);
    boost::json::object read_key(const std::string& key, http::status& status) const;
    boost::json::object list(const form_query& query) const;
    boost::json::object transact(const boost::json::object& request, http::status& status);
    boost::json::object events_after(const std::string& prefix, std::int64_t revision) const;
    void put(const std::string& key, const std::string& value, std::int64_t lease);
    void remove(const std::string& key);
    void expire_leases();

    /// What a copy of the store holds.
    struct copied_state {
        std::int64_t revision = 1;
        std::map<std::string, item> items;
    };

    static constexpr std::size_t default_page_items = 3;

    std::int64_t revision_ = 1;
    std::int64_t era_ = 1;
    std::size_t page_items_ = default_page_items;
    copied_state copy_;
    std::int64_t next_lease_ = 1;
    std::int64_t compacted_revision_ = 0; ///< events up to this revision are no longer kept
    std::map<std::string, item> items_;
    std::deque<event> history_;
    std::map<std::int64_t, time_point> leases_;
    std::string mode_ = "up";            ///< "up", "busy", "reset" or "silent"
    bool watches_suspended_ = false;     ///< watches wait out their time and report no changes
    std::int64_t responses_to_drop_ = 0; ///< number of POSTs to apply without a response
    std::chrono::milliseconds delay_{0};
    std::int64_t calls_ = 0;
    std::int64_t bytes_sent_ = 0;
    std::int64_t bytes_per_second_ = 0; ///< bandwidth shared by all responses, 0 for unlimited
    time_point link_is_free_at_;
    standin_server server_;
};

} // namespace citronwick::standin

#endif
