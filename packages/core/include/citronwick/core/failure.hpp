#ifndef CITRONWICK_CORE_FAILURE_HPP_INCLUDED
#define CITRONWICK_CORE_FAILURE_HPP_INCLUDED

#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <utility>

namespace citronwick {

/// Error with the operation that failed and the peer that it concerned.
struct failure {
    failure() = default;
    failure(std::string failed_step, std::string involved_peer, std::string description,
            bool effect_possible = false)
        : step{std::move(failed_step)}, peer{std::move(involved_peer)}, detail{std::move(description)},
          may_have_taken_effect{effect_possible} {}

    std::string step;                   ///< operation that failed, such as "connect"
    std::string peer;                   ///< address, file or member involved
    std::string detail;                 ///< human-readable cause
    bool may_have_taken_effect = false; ///< the peer may have executed the request
};

/// Formats an error as "step failed at peer: detail".
std::string to_text(const failure& error);

/// Result of synchronous code. Errors are `failure` objects of Boost.LEAF.
template <class T>
using result = boost::leaf::result<T>;

/// Result of a coroutine, with the `failure` held by value: Boost.LEAF stores
/// error objects in thread-local contexts, which must not stay active across a
/// suspension point.
template <class T>
using io_result = boost::system::result<T, failure>;

/// Returns `error` to the caller as a Boost.LEAF error.
boost::leaf::error_id fail(failure error);

/// Called by Boost.System when `value()` is called on an `io_result` that holds an error.
[[noreturn]] void throw_exception_from_error(const failure& error, const boost::source_location& location);

} // namespace citronwick

#endif
