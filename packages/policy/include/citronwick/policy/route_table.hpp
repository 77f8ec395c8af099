#ifndef CITRONWICK_POLICY_ROUTE_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_ROUTE_TABLE_HPP_INCLUDED

#include "citronwick/policy/route.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Finds the route of a request by its host and the longest matching prefix.
class route_table {
public:
    route_table() = default;
    explicit route_table(std::vector<route> routes);

    /// @param path as the caller sent it; a query is ignored
    /// @return null where no route matches
    const route* find(std::string_view host, std::string_view path) const;

    const std::vector<route>& routes() const { return routes_; }

private:
    std::vector<route> routes_;
    /// Index of the route by host and prefix.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> by_host_;
};

/// Service of a route that a request goes to; equal requests get the same one.
/// @param request hash of the request's identifier
/// @return null where the route has no service of positive weight
const weighted_service* choose_service(const route& from, std::uint64_t request);

/// Host without its port, in lower case.
std::string normalized_host(std::string_view host);

/// Whether a request path may be matched as it was sent: it begins with a
/// slash and holds no dot segments, encoded slashes or control characters,
/// which upstreams may read as another path.
bool is_plain_path(std::string_view target);

} // namespace citronwick

#endif
