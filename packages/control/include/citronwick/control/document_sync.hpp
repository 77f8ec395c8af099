#ifndef CITRONWICK_CONTROL_DOCUMENT_SYNC_HPP_INCLUDED
#define CITRONWICK_CONTROL_DOCUMENT_SYNC_HPP_INCLUDED

#include "citronwick/config/config_store.hpp"
#include "citronwick/config/configuration.hpp"
#include "citronwick/control/control_settings.hpp"
#include "citronwick/control/document_store.hpp"
#include "citronwick/control/peer_exchange.hpp"
#include "citronwick/control/vm_list.hpp"
#include "citronwick/io/kv_client.hpp"
#include "citronwick/io/vm_list_client.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronwick {

/// Keeps the configuration and the VM list up to date. Any router fetches them from
/// other routers; the watchers of each failure domain also read them from the platform.
///
/// A document is applied if it is valid and newer than the current one. If the
/// key-value service holds an earlier root again, it was restored from a backup, and
/// the watchers write there what it lacks.
class document_sync {
public:
    /// Receivers of new documents, and the watcher role of this router.
    struct callbacks {
        std::function<void(std::shared_ptr<const configuration>)> on_configuration;
        std::function<void(const std::vector<listed_vm>&)> on_vm_list;
        std::function<bool()> is_watcher; ///< whether this router currently reads from the platform
    };

    document_sync(asio::any_io_executor executor, const control_settings& settings, document_store& store,
                  peer_exchange& peers, callbacks handlers);

    /// Starts watching the platform.
    void start();

    /// Fetches a document from another router if its generation is newer.
    void pull_if_newer(const endpoint& peer, const wire::document_version& version);

    /// @return bytes exchanged with the platform since the last call, by service
    std::uint64_t take_key_value_bytes() { return config_service_->take_byte_count(); }
    std::uint64_t take_vm_list_bytes() { return vm_list_->take_byte_count(); }

private:
    task<void> pull(endpoint peer, wire::document_kind kind);
    task<void> watch_configuration();
    task<void> poll_vm_list();
    task<io_result<std::int64_t>> load_configuration();
    task<void> write_again(kv_entry stored);
    void accept_platform_vm_list(const vm_list_document& list);
    bool accept(wire::document_kind kind, std::uint64_t generation, std::string header,
                const std::string& source);
    bool apply_configuration(const std::string& header, const std::string& text,
                             const std::string& source) const;
    bool apply_vm_list(const std::string& text, const std::string& source) const;
    std::string join_chunks(const std::string& header) const;

    asio::any_io_executor executor_;
    const control_settings& settings_;
    document_store& store_;
    peer_exchange& peers_;
    callbacks callbacks_;
    std::unique_ptr<kv_client> config_service_;
    std::unique_ptr<vm_list_client> vm_list_;
    config_store config_store_;
    std::array<bool, 2> pulling_{};
    std::deque<std::string> accepted_roots_; ///< newest last
};

} // namespace citronwick

#endif
