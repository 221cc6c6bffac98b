// Namespace aliases and helpers for Boost.Asio and Boost.Beast, shared by the
// transport layer.

#ifndef MUSTARDFLOW_TRANSPORT_ASIO_H_
#define MUSTARDFLOW_TRANSPORT_ASIO_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/outcome.hpp>

#include "state/document.h"

namespace mustardflow::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::awaitable;
using asio::ip::tcp;

// Completion token for coroutines: the operation returns its error code instead
// of throwing.
inline constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

inline tcp::endpoint ToEndpoint(const state::Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ASIO_H_
