// Boost.JSON is compiled into the workspace here, once.
#include <boost/json/src.hpp>
