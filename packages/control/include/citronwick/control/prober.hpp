#ifndef CITRONWICK_CONTROL_PROBER_HPP_INCLUDED
#define CITRONWICK_CONTROL_PROBER_HPP_INCLUDED

#include "citronwick/control/upstream_table.hpp"
#include "citronwick/io/http_connection.hpp"

#include <functional>
#include <map>
#include <memory>

namespace citronwick {

/// Probes the health and load of upstreams over persistent connections. The caller
/// selects the upstreams that this router probes in each round.
class prober {
public:
    using observer = std::function<void(std::uint32_t upstream, const upstream_observation& seen)>;
    using byte_counter = std::function<void(std::size_t)>;

    prober(asio::any_io_executor executor, observer observe, byte_counter count);

    /// Probes all targets concurrently, except those with a probe still in progress,
    /// and drops the connections to other upstreams.
    void probe(const std::vector<upstream_table::probe_target>& targets);

private:
    struct connection {
        connection(const asio::any_io_executor& executor, const endpoint& address);
        http_connection http;
        bool busy = false;
        int failures = 0;
    };

    task<void> probe_upstream(std::shared_ptr<connection> target, std::uint32_t upstream);

    asio::any_io_executor executor_;
    observer observe_;
    byte_counter count_;
    std::map<std::uint32_t, std::shared_ptr<connection>> connections_;
};

} // namespace citronwick

#endif
