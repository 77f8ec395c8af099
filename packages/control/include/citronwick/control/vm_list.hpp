#ifndef CITRONWICK_CONTROL_VM_LIST_HPP_INCLUDED
#define CITRONWICK_CONTROL_VM_LIST_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// One VM of the platform's list.
struct listed_vm {
    std::string name;
    bool is_router = false; ///< runs a router; else it is an upstream
    std::string service;    ///< of an upstream
    std::string region;
    std::string failure_domain;
    endpoint address; ///< of an upstream's service, or of a router's fleet channel
    double weight = 1.0;
    bool leaving = false;
};

/// Reads the platform's JSON.
result<std::vector<listed_vm>> parse_platform_vm_list(std::string_view json, const std::string& source);

/// Writes a VM a line, so that a change touches few chunks.
std::string to_json_lines(const std::vector<listed_vm>& vms);

/// Reads what `to_lines` wrote.
result<std::vector<listed_vm>> parse_vm_json_lines(std::string_view text, const std::string& source);

} // namespace citronwick

#endif
