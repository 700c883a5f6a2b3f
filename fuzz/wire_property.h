// What must hold of any bytes that a client, a host, discovery, staff or the process before this one may say.
// Shared by the fuzz targets and the test that replays their corpus.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace client_proxy::fuzz {

// Empty: it holds. Else what does not.
using Property = std::string (*)(std::string_view bytes);

// A request read as it comes in, whatever the pieces: the same head, body or fault; what goes on to a host
// says the same once, and hides no second request.
std::string brokenRequest(std::string_view bytes);
// A host's answer read in pieces or at once is the same; no more of a body is given than it says.
std::string brokenAnswer(std::string_view bytes);
// A frame of the hand-over that can be read is the one that was written.
std::string brokenFrame(std::string_view bytes);
// A state of the hand-over is refused or survives its own text, and no state harms the module that recalls
// it.
std::string brokenState(std::string_view bytes);
// A call of staff (method, space, target) means one thing; an id holds nothing that no id has.
std::string brokenCall(std::string_view bytes);
// A list of hosts is refused with words or survives its own form.
std::string brokenHosts(std::string_view bytes);

struct Target {
  std::string_view name;
  Property broken;
};
// In the order of the folders under tests/wire.
const std::vector<Target>& targets();

}  // namespace client_proxy::fuzz
