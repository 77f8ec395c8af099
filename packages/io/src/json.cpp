// Compiles Boost.JSON into this library; no other translation unit may include src.hpp.
#include <boost/json/src.hpp>
