#ifndef CITRONWICK_TESTS_STANDIN_VM_LIST_SERVICE_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_VM_LIST_SERVICE_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "standin_server.hpp"

#include <deque>
#include <string>

namespace citronwick::standin {

/// Stand-in for the platform's VM list. A published list becomes visible after a configurable lag.
class vm_list_service {
public:
    vm_list_service(asio::io_context& context, const std::string& ip);

    endpoint address() const { return server_.address(); }

private:
    struct version {
        std::uint64_t number = 0;
        std::string json;
        time_point visible_at;
    };

    task<bool> handle(boost::beast::tcp_stream& stream, http_request request);
    void publish_pending();

    version current_{1, R"({"version":1,"vms":[]})", {}};
    std::deque<version> pending_;
    std::uint64_t last_number_ = 1;
    std::chrono::milliseconds lag_{0};
    bool outage_ = false;
    std::int64_t reads_ = 0;
    standin_server server_;
};

} // namespace citronwick::standin

#endif
