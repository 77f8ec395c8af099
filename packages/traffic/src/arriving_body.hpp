#ifndef CITRONWICK_TRAFFIC_ARRIVING_BODY_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ARRIVING_BODY_HPP_INCLUDED

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace citronwick {

/// Body of a request that is being read. Unlike `string_body` it takes memory for what has
/// arrived, whatever length the header declares.
struct arriving_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*header*/, value_type& body) : body_{body} {}

        // NOLINTNEXTLINE(readability-convert-member-functions-to-static): called by the parser
        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& error) {
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
            const std::size_t size_before = body_.size();
            body_.resize(size_before + boost::asio::buffer_size(buffers));
            error = {};
            return boost::asio::buffer_copy(boost::asio::buffer(body_) + size_before, buffers);
        }

        // NOLINTNEXTLINE(readability-convert-member-functions-to-static): called by the parser
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace citronwick

#endif
