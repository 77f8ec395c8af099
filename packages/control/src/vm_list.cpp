#include "citronwick/control/vm_list.hpp"

#include "citronwick/io/json_text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

namespace json = boost::json;

result<listed_vm> parse_vm(const json::object& object, const std::string& source) {
    listed_vm vm{.name = string_member(object, "name"),
                 .is_router = string_member(object, "role") == "entry",
                 .service = string_member(object, "service"),
                 .region = string_member(object, "region"),
                 .failure_domain = string_member(object, "failure_domain"),
                 .leaving = string_member(object, "state") == "leaving"};
    const auto address = parse_endpoint(string_member(object, "address"));
    if (vm.name.empty() || !address) {
        return fail({"read VM list", source, "a VM has no name or no address: " + json::serialize(object)});
    }
    vm.address = *address;
    const double weight = number_member(object, "weight");
    vm.weight = weight > 0.0 ? weight : 1.0;
    return vm;
}

json::object to_json(const listed_vm& vm) {
    return {{"name", vm.name},
            {"role", vm.is_router ? "entry" : "upstream"},
            {"service", vm.service},
            {"region", vm.region},
            {"failure_domain", vm.failure_domain},
            {"address", to_text(vm.address)},
            {"weight", vm.weight},
            {"state", vm.leaving ? "leaving" : "live"}};
}

} // namespace

result<std::vector<listed_vm>> parse_platform_vm_list(std::string_view text, const std::string& source) {
    const auto document = parse_json_object(text);
    const auto* const entries = document ? array_member(*document, "vms") : nullptr;
    if (entries == nullptr) {
        return fail({"read VM list", source, "the member \"vms\" is missing or not an array"});
    }
    std::vector<listed_vm> vms;
    for (const json::value& entry : *entries) {
        if (!entry.is_object()) {
            return fail({"read VM list", source, "an entry is not an object"});
        }
        BOOST_LEAF_AUTO(vm, parse_vm(entry.as_object(), source));
        vms.push_back(std::move(vm));
    }
    return vms;
}

std::string to_json_lines(const std::vector<listed_vm>& vms) {
    std::string text;
    for (const listed_vm& vm : vms) {
        text += json::serialize(to_json(vm)) + "\n";
    }
    return text;
}

result<std::vector<listed_vm>> parse_vm_json_lines(std::string_view text, const std::string& source) {
    std::vector<listed_vm> vms;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto object = parse_json_object(text.substr(0, end));
        if (!object) {
            return fail({"read VM list", source, "a line is not a JSON object"});
        }
        BOOST_LEAF_AUTO(vm, parse_vm(*object, source));
        vms.push_back(std::move(vm));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return vms;
}

} // namespace citronwick
