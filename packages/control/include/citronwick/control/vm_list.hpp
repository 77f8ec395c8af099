#ifndef CITRONWICK_CONTROL_VM_LIST_HPP_INCLUDED
#define CITRONWICK_CONTROL_VM_LIST_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// One VM of the platform's VM list.
struct listed_vm {
    std::string name;
    bool is_router = false; ///< whether it runs a router; otherwise it is an upstream
    std::string service;    ///< of an upstream
    std::string region;
    std::string failure_domain;
    endpoint address; ///< of the upstream's service, or of the router's fleet channel
    double weight = 1.0;
    bool leaving = false;
};

/// Parses the platform's JSON document.
result<std::vector<listed_vm>> parse_platform_vm_list(std::string_view json, const std::string& source);

/// Writes one JSON object a line, so that a change of one VM changes few chunks.
std::string to_json_lines(const std::vector<listed_vm>& vms);

/// Parses the output of `to_json_lines`.
result<std::vector<listed_vm>> parse_vm_json_lines(std::string_view text, const std::string& source);

} // namespace citronwick

#endif
