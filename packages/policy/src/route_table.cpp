#include "citronwick/policy/route_table.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <numeric>
#include <ranges>

namespace citronwick {

namespace {

char to_lower(char letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

} // namespace

std::string normalized_host(std::string_view host) {
    std::string name{host.substr(0, host.starts_with('[') ? host.size() : host.find(':'))};
    std::ranges::transform(name, name.begin(), to_lower);
    return name;
}

bool is_unambiguous_path(std::string_view target) {
    const std::string_view path = target.substr(0, target.find('?'));
    if (!path.starts_with('/')) {
        return false;
    }
    const bool has_control =
        std::ranges::any_of(target, [](unsigned char letter) { return letter <= ' ' || letter == '\x7f'; });
    std::string lowered{path};
    std::ranges::transform(lowered, lowered.begin(), to_lower);
    constexpr std::array<std::string_view, 5> ambiguous{"/./", "/../", "%2f", "%2e", "\\"};
    const bool is_ambiguous = std::ranges::any_of(
        ambiguous, [&](std::string_view text) { return lowered.find(text) != std::string::npos; });
    return !has_control && !is_ambiguous && !lowered.ends_with("/.") && !lowered.ends_with("/..");
}

route_table::route_table(std::vector<route> routes) : routes_{std::move(routes)} {
    for (std::size_t index = 0; index < routes_.size(); ++index) {
        const route& each = routes_[index];
        by_host_[normalized_host(each.host)].insert_or_assign(each.prefix, index);
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto prefixes = by_host_.find(normalized_host(host));
    if (prefixes == by_host_.end()) {
        return nullptr;
    }
    std::string_view remaining = path.substr(0, path.find('?'));
    while (true) {
        const auto slash = remaining.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = prefixes->second.find(remaining.substr(0, slash + 1));
        if (found != prefixes->second.end()) {
            return &routes_[found->second];
        }
        remaining = remaining.substr(0, slash);
    }
}

const weighted_service* choose_service(const route& request_route, std::uint64_t request) {
    const double total = std::accumulate(
        request_route.services.begin(), request_route.services.end(), 0.0,
        [](double sum, const weighted_service& each) { return sum + std::max(each.weight, 0.0); });
    if (total <= 0.0) {
        return nullptr;
    }
    constexpr std::uint64_t resolution = 1U << 20U;
    double remaining_weight =
        total * static_cast<double>(request % resolution) / static_cast<double>(resolution);
    const auto chosen =
        std::ranges::find_if(request_route.services, [&remaining_weight](const weighted_service& each) {
            remaining_weight -= std::max(each.weight, 0.0);
            return remaining_weight < 0.0;
        });
    return chosen == request_route.services.end() ? &request_route.services.back() : &*chosen;
}

} // namespace citronwick
