#ifndef CITRONWICK_FLEET_REQUEST_DIALECT_HPP_INCLUDED
#define CITRONWICK_FLEET_REQUEST_DIALECT_HPP_INCLUDED

#include "citronwick/policy/prompt.hpp"

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace citronwick {

/// What a caller's header fields say of a request.
struct request_traits {
    std::string attempt_id;                               ///< unique to this sending by the caller
    std::optional<std::chrono::milliseconds> time_left{}; ///< how long the caller waits
    std::string team_key;
    std::string last_event_id; ///< where a stream is to go on, empty for its start
    prompt text;               ///< empty where the request is no generation
};

/// What the fleet tells the upstream about a request that it forwards.
struct forward_metadata {
    std::string upstream;                    ///< identifier that the receiver must have
    std::string team;                        ///< empty for none
    std::chrono::milliseconds time_left{0};  ///< after which the caller has gone
    std::optional<std::uint32_t> priority{}; ///< 0 is the most urgent
    std::string last_event_id;               ///< where the stream goes on, empty for its start
};

/// Load that an upstream reports with an answer.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What an upstream's header fields say of its answer.
struct response_traits {
    std::string attempt_id;  ///< of the request that it answers, empty where not told
    bool is_signed = false;  ///< bears the upstream's proof that it ran the request
    bool is_not_run = false; ///< the upstream states that it did not run the request
    bool is_encoded = false; ///< the body is not in the form that was asked for
    std::optional<reported_load> load{};
    std::optional<std::chrono::milliseconds> idle_timeout{}; ///< of the connection
};

/// Names of the header fields in one platform's HTTP messages.
class request_dialect {
public:
    request_dialect() = default;
    request_dialect(const request_dialect&) = delete;
    request_dialect& operator=(const request_dialect&) = delete;
    virtual ~request_dialect();

    virtual request_traits read_request(const boost::beast::http::fields& fields) const = 0;

    /// Turns a caller's fields into those that an upstream gets: what concerns
    /// one connection or is the fleet's to set is dropped, the note is added.
    virtual void prepare_forward(boost::beast::http::fields& fields, const forward_metadata& note) const = 0;

    virtual response_traits read_response(const boost::beast::http::fields& fields) const = 0;

    /// Drops what concerns one connection from an upstream's fields.
    virtual void prepare_response(boost::beast::http::fields& fields) const = 0;
};

} // namespace citronwick

#endif
