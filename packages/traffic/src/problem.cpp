#include "citronwick/traffic/problem.hpp"

#include <array>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

std::string_view to_text(outcome value) {
    constexpr std::array<std::string_view, 3> names{"complete", "not-run", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

std::string to_json(const problem& value, std::string_view request_id) {
    namespace http = boost::beast::http;
    return boost::json::serialize(
        boost::json::object{{"type", "urn:citronwick:problem:" + std::string{value.type}},
                            {"title", std::string{http::obsolete_reason(http::int_to_status(value.status))}},
                            {"status", value.status},
                            {"detail", value.detail},
                            {"outcome", to_text(value.result)},
                            {"request", request_id}});
}

} // namespace citronwick
