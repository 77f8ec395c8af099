#ifndef CITRONWICK_TESTS_STANDIN_KEY_VALUE_SERVICE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_KEY_VALUE_SERVICE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "standin_server.hpp"

#include <boost/json/array.hpp>
#include <map>
#include <optional>
#include <string>

namespace citronwick::standin {

/// Stand-in for the platform's key-value service. Implements the part of the
/// etcd v3 JSON gateway that routers use: range reads, transactions that compare
/// mod_revision, leases and watches. POST /standin/fault with "back_up" takes a backup,
/// and with "restore" the service is restored from it.
class key_value_service {
public:
    key_value_service(asio::io_context& context, const std::string& ip);

    endpoint address() const { return server_.address(); }

private:
    struct stored_value {
        std::string value;
        std::int64_t create_revision = 0;
        std::int64_t mod_revision = 0;
        std::int64_t lease = 0;
    };

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    task<bool> watch(boost::beast::tcp_stream& stream, const boost::json::object& request);
    std::optional<boost::json::object> respond(const std::string& target, const boost::json::object& request);
    boost::json::object range(const boost::json::object& request) const;
    std::optional<boost::json::object> transact(const boost::json::object& request);
    bool put(const boost::json::object& request);
    boost::json::object grant(const boost::json::object& request);
    boost::json::object statistics() const;
    boost::json::object header() const;
    void set_faults(const boost::json::object& fault_settings);
    void expire_leases();

    /// What a backup of the service holds.
    struct backup {
        std::int64_t revision = 1;
        std::map<std::string, stored_value> values;
    };

    std::int64_t revision_ = 1;
    std::map<std::string, stored_value> values_;
    backup backup_;
    std::map<std::int64_t, time_point> leases_;
    std::int64_t next_lease_ = 1;
    bool outage_ = false;        ///< connections are closed without a response
    bool unresponsive_ = false;  ///< requests get no response
    bool stale_watches_ = false; ///< watches stay open but report no changes
    std::chrono::milliseconds delay_{0};
    std::int64_t responses_to_drop_ = 0; ///< number of writes to apply without a response
    std::int64_t reads_ = 0;
    std::int64_t writes_ = 0;
    std::int64_t watches_ = 0;
    std::int64_t open_watches_ = 0;
    standin_server server_;
};

} // namespace citronwick::standin

#endif
