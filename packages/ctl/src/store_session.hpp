#ifndef CITRONWICK_CTL_SRC_STORE_SESSION_HPP_INCLUDED
#define CITRONWICK_CTL_SRC_STORE_SESSION_HPP_INCLUDED

#include "citronwick/config/config_store.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/ctl/command_options.hpp"
#include "citronwick/io/etcd_gateway_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace citronwick {

/// A command's access to the configuration in the key-value service.
class store_session {
public:
    explicit store_session(const command_options& options)
        : client_{make_etcd_gateway_client(context_.get_executor(), options.key_value, options.timeout)},
          store_{*client_, options.key_prefix} {}

    config_store& store() { return store_; }

    /// Runs a coroutine to completion and returns its result.
    template <class T>
    T run(task<T> operation) {
        auto result = asio::co_spawn(context_, std::move(operation), asio::use_future);
        context_.restart();
        context_.run();
        return result.get();
    }

private:
    asio::io_context context_{1};
    std::unique_ptr<kv_client> client_;
    config_store store_;
};

} // namespace citronwick

#endif
