#ifndef CITRONWICK_POLICY_ROUTE_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_ROUTE_TABLE_HPP_INCLUDED

#include "citronwick/policy/route.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Finds the route for a request by its host and the longest matching path prefix.
class route_table {
public:
    route_table() = default;
    explicit route_table(std::vector<route> routes);

    /// @param path request target as received; the query string is ignored
    /// @return null if no route matches
    const route* find(std::string_view host, std::string_view path) const;

    const std::vector<route>& routes() const { return routes_; }

private:
    std::vector<route> routes_;
    /// Index into `routes_` by host, then by path prefix.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> by_host_;
};

/// Chooses one of the route's services by weight. The same request always gets
/// the same service.
/// @param request hash of the request's identifier
/// @return null if the route has no service with a positive weight
const weighted_service* choose_service(const route& request_route, std::uint64_t request);

/// Host name without the port, in lower case. An IPv6 address in brackets keeps its port.
std::string normalized_host(std::string_view host);

/// Whether a request target can be matched without normalization. Its path must
/// begin with a slash and contain no dot segments, backslashes, or percent-encoded
/// slashes or dots; the target must contain no spaces or control characters.
/// Upstreams might interpret such a target as a different path.
bool is_unambiguous_path(std::string_view target);

} // namespace citronwick

#endif
