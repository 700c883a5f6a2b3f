// Text form of the state that one process of a member hands to the next. Upgrades: docs/on-call.md.
#pragma once

#include <string>
#include <string_view>

#include "fleet/fleet.h"

namespace client_proxy::fleet_transport {

// Encodes a snapshot as JSON.
std::string toText(const fleet::MembershipSnapshot& snapshot);
// Parses toText()'s output. Throws std::runtime_error if the text is incomplete or invalid.
fleet::MembershipSnapshot snapshotFromText(std::string_view text);

}  // namespace client_proxy::fleet_transport
