// What must hold of any datagram that another proxy may send, and of any view that the process before this
// one may hand on. Shared by the fuzz targets and the tests that replay their corpus. Empty: it holds.
#pragma once

#include <string>
#include <string_view>

namespace client_proxy::fuzz {

// A datagram, also with its checksum set right, is dropped with a cause or means one thing; a member that
// takes it sends back only datagrams that can be read, few of them, and none to one that was dropped.
std::string brokenDatagram(std::string_view bytes);
// A view is refused with words or survives its own text, and a member that recalls it serves on.
std::string brokenView(std::string_view bytes);

}  // namespace client_proxy::fuzz
