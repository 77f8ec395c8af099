#ifndef CITRONWICK_CORE_FAILURE_HPP_INCLUDED
#define CITRONWICK_CORE_FAILURE_HPP_INCLUDED

#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <utility>

namespace citronwick {

/// Error that names the step and the peer at which it arose.
struct failure {
    failure() = default;
    failure(std::string at_step, std::string at_peer, std::string what, bool effect_possible = false)
        : step{std::move(at_step)}, peer{std::move(at_peer)}, detail{std::move(what)},
          may_have_taken_effect{effect_possible} {}

    std::string step;                   ///< operation under way, such as "connect"
    std::string peer;                   ///< address, file or member that it concerned
    std::string detail;                 ///< what went wrong, for a person to read
    bool may_have_taken_effect = false; ///< whether the peer may have acted on the request
};

/// "step failed at peer: detail".
std::string to_text(const failure& error);

/// Result of synchronous code; handlers take a `failure`.
template <class T>
using result = boost::leaf::result<T>;

/// Result of a coroutine. Boost.LEAF keeps its error objects in thread-local
/// contexts that must not stay active across a suspension, so asynchronous
/// operations carry the same `failure` by value.
template <class T>
using io_result = boost::system::result<T, failure>;

/// Raises `error` through Boost.LEAF.
boost::leaf::error_id fail(failure error);

/// Called by Boost.System where `value()` is taken of a failed `io_result`.
[[noreturn]] void throw_exception_from_error(const failure& error, const boost::source_location& location);

} // namespace citronwick

#endif
