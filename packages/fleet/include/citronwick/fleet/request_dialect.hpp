#ifndef CITRONWICK_FLEET_REQUEST_DIALECT_HPP_INCLUDED
#define CITRONWICK_FLEET_REQUEST_DIALECT_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"
#include "citronwick/policy/prompt.hpp"

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// Properties of a request, read from the caller's header fields.
struct request_traits {
    std::string attempt_id;                               ///< unique to each attempt of the caller
    std::optional<std::chrono::milliseconds> time_left{}; ///< until the caller's deadline
    std::string team_key;
    std::string last_event_id; ///< last event received before a resume, empty for a new stream
    std::string resumes;       ///< attempt that brought the first event of the stream that is resumed
    prompt text;               ///< empty unless the request asks for text generation
};

/// Metadata that is added to a request forwarded to an upstream.
struct forward_metadata {
    std::string upstream;                    ///< expected identifier of the receiver
    std::string team;                        ///< empty for none
    std::chrono::milliseconds time_left{0};  ///< until the caller's deadline
    std::optional<std::uint32_t> priority{}; ///< 0 is the most urgent
    std::string last_event_id;               ///< last event received before a resume, empty for a new stream
    std::optional<endpoint> fetch_from{};    ///< upstream from whose cache prompt parts are to be fetched
    /// Version of the weights without which the request must not run, none for any.
    std::optional<std::uint64_t> expected_weights{};
};

/// Load that an upstream reports with a response.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::optional<double> slowness{}; ///< time that work takes now, as a multiple of the usual one
};

/// Properties of a response, read from the upstream's header fields.
struct response_traits {
    std::string attempt_id;  ///< of the request that it responds to, empty if absent
    bool is_signed = false;  ///< carries the upstream's proof that it ran the request
    bool is_not_run = false; ///< the upstream states that it did not run the request
    bool is_leaving = false; ///< the upstream accepts no new requests
    bool is_encoded = false; ///< the body has a content encoding that was not requested
    std::optional<reported_load> load{};
    /// Requests a second that the upstream takes from all routers together; not a
    /// finite number, or negative, if what it names is unusable. Empty if it names none.
    std::optional<double> rate_limit{};
    /// Refusals a second for want of room behind which the upstream ends, as it is brittle; not a
    /// finite number, or negative, if what it names is unusable. Empty if it is not brittle.
    std::optional<double> refusals_per_second{};
    /// Time for which a refusal asks for no further requests; empty if it names none.
    std::optional<std::chrono::milliseconds> retry_after{};
    std::optional<std::chrono::milliseconds> idle_timeout{}; ///< of the connection
    std::optional<std::uint64_t> weight_version{}; ///< of the weights with which the response begins
};

/// Reads and writes the header fields of one platform's HTTP messages.
class request_dialect {
public:
    request_dialect() = default;
    request_dialect(const request_dialect&) = delete;
    request_dialect& operator=(const request_dialect&) = delete;
    virtual ~request_dialect();

    virtual request_traits read_request(const boost::beast::http::fields& fields) const = 0;

    /// Turns a caller's header fields into those sent to an upstream: removes
    /// hop-by-hop fields and those that only the fleet may set, and adds the metadata.
    /// @return a `failure` if part of the metadata cannot be the value of a field
    virtual io_result<void> prepare_forward(boost::beast::http::fields& fields,
                                            const forward_metadata& metadata) const = 0;

    virtual response_traits read_response(const boost::beast::http::fields& fields) const = 0;

    /// Name of the field by which an event of a stream names the version of its weights, empty if
    /// events name none.
    virtual std::string weight_event_field() const { return {}; }

    /// Target of an upstream's report on itself, empty if there is none.
    virtual std::string report_target() const { return {}; }

    /// Incarnation of the process that sent a report, none if that does not say.
    virtual std::optional<std::uint64_t> read_incarnation(std::string_view report) const;

    /// Removes hop-by-hop fields from an upstream's response.
    virtual void prepare_response(boost::beast::http::fields& fields) const = 0;
};

} // namespace citronwick

#endif
