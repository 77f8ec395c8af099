#ifndef CITRONWICK_CONFIG_IO_RESULT_OF_HPP_INCLUDED
#define CITRONWICK_CONFIG_IO_RESULT_OF_HPP_INCLUDED

#include "citronwick/core/failure.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace citronwick {

/// Calls a function that reports errors through Boost.LEAF and returns its result
/// by value, for use in coroutines: LEAF's thread-local errors do not survive a suspension.
template <class T, class Function>
io_result<T> io_result_of(Function function) {
    return boost::leaf::try_handle_all(
        [&]() -> result<io_result<T>> {
            BOOST_LEAF_AUTO(value, function());
            return io_result<T>{std::move(value)};
        },
        [](const failure& error) { return io_result<T>{error}; },
        [] { return io_result<T>{failure{"unknown step", "unknown peer", "no details"}}; });
}

} // namespace citronwick

#endif
