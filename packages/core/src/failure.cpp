#include "citronwick/core/failure.hpp"

#include <boost/leaf/error.hpp>
#include <stdexcept>

namespace citronwick {

std::string to_text(const failure& error) {
    return error.step + " failed at " + error.peer + ": " + error.detail;
}

boost::leaf::error_id fail(failure error) {
    return boost::leaf::new_error(std::move(error));
}

void throw_exception_from_error(const failure& error, const boost::source_location& /*location*/) {
    throw std::runtime_error(to_text(error));
}

} // namespace citronwick
