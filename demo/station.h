// A stand-in for a host: answers GET /healthz, and every other request after a few milliseconds with its own
// name. Each request that it ran is a line "ran ID" on standard output.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace client_proxy::demo {

// Serves until it is killed. Throws boost::system::system_error if the address can't be taken.
void serveStation(const std::string& name, const boost::asio::ip::tcp::endpoint& at);

}  // namespace client_proxy::demo
