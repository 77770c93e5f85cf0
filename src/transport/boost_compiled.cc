// Compiles the separately built parts of Asio, Beast and JSON once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
