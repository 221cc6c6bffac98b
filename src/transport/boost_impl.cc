// Compiles the implementations of Boost.Asio and Boost.Beast once; all other
// files include their declarations only.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
