#include "citronwick/control/vm_list.hpp"

#include "citronwick/core/field_value.hpp"
#include "citronwick/core/printable_text.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace citronwick {

namespace {

namespace json = boost::json;

/// @return none if the VM's name or its address is missing or unusable
std::optional<listed_vm> parse_vm(const json::object& object) {
    listed_vm vm{.name = string_member(object, "name"),
                 .is_router = string_member(object, "role") == "entry",
                 .service = string_member(object, "service"),
                 .region = string_member(object, "region"),
                 .failure_domain = string_member(object, "failure_domain"),
                 .leaving = string_member(object, "state") == "leaving"};
    const auto address = parse_endpoint(string_member(object, "address"));
    if (!is_vm_name(vm.name) || !address) {
        return std::nullopt;
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
        const auto* const object = entry.if_object();
        auto vm = object == nullptr ? std::nullopt : parse_vm(*object);
        if (vm) {
            vms.push_back(std::move(*vm));
        } else {
            log_warn("vm_list_entry_refused",
                     {{"source", source}, {"entry", printable(json::serialize(entry))}});
        }
    }
    if (vms.empty() && !entries->empty()) {
        return fail({"read VM list", source, "no entry names a VM and its address"});
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
        auto vm = object ? parse_vm(*object) : std::nullopt;
        if (!vm) {
            return fail({"read VM list", source, "a line names no VM: " + printable(text.substr(0, end))});
        }
        vms.push_back(std::move(*vm));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return vms;
}

} // namespace citronwick
