#include "citronwick/io/request_target.hpp"

#include <algorithm>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace citronwick {

namespace {

std::string encode(std::string_view text) {
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace

std::string make_target(std::string_view path, std::initializer_list<query_parameter> parameters) {
    std::string target{path};
    char separator = '?';
    std::ranges::for_each(parameters, [&](const query_parameter& each) {
        target += separator + encode(each.first) + "=" + encode(each.second);
        separator = '&';
    });
    return target;
}

} // namespace citronwick
