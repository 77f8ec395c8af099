#ifndef CITRONWICK_TRAFFIC_CONNECTION_RECORD_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CONNECTION_RECORD_HPP_INCLUDED

#include "citronwick/traffic/connection_end.hpp"

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <exception>
#include <string>

namespace citronwick {

class caller;

/// What a caller's connection served, and why it ended.
class connection_record {
public:
    /// Counts a request that was handled.
    void count_request() { ++requests_; }

    /// Notes that the connection ends after a request.
    /// @param exception thrown while it was handled, if any
    void end_after(const caller& last, const std::exception_ptr& exception = nullptr);

    /// Notes that waiting for the next request ended with an error.
    void end_while_idle(const boost::system::error_code& error);

    /// Notes that reading a request ended with an error.
    void end_within_request(const boost::system::error_code& error);

    /// Notes that a request was refused because it could not be read.
    void end_with_refusal(std::string detail);

    connection_end end() const { return end_; }

    /// Writes a log line, at a level that depends on whether a request was left unfinished.
    void log() const;

private:
    connection_end end_ = connection_end::closed_by_caller;
    std::string request_ = "-"; ///< identifier of the request after which the connection ended
    std::string detail_ = "-";
    std::size_t requests_ = 0;
    std::size_t response_bytes_ = 0; ///< written of the last response
};

} // namespace citronwick

#endif
