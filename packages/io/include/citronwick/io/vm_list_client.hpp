#ifndef CITRONWICK_IO_VM_LIST_CLIENT_HPP_INCLUDED
#define CITRONWICK_IO_VM_LIST_CLIENT_HPP_INCLUDED

#include "citronwick/io/task.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace citronwick {

/// One version of the platform's VM list, as JSON.
struct vm_list_document {
    std::uint64_t version = 0;
    std::string json;
};

/// Client of the platform's list of live and leaving VMs.
class vm_list_client {
public:
    vm_list_client() = default;
    vm_list_client(const vm_list_client&) = delete;
    vm_list_client& operator=(const vm_list_client&) = delete;
    virtual ~vm_list_client();

    /// Fetches the list if its version differs from `known_version`.
    /// @return nothing if it is unchanged
    virtual task<io_result<std::optional<vm_list_document>>> fetch(std::uint64_t known_version) = 0;

    /// Bytes sent and received since the last call.
    virtual std::uint64_t take_byte_count() = 0;
};

/// Creates a client of a VM list that is served as JSON over HTTP, with the version as entity tag.
std::unique_ptr<vm_list_client> make_http_vm_list_client(const asio::any_io_executor& executor,
                                                         endpoint server, std::chrono::milliseconds timeout);

} // namespace citronwick

#endif
