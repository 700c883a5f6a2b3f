// What one process of a member hands to the next, as text: docs/on-call.md tells of upgrades.
#pragma once

#include <string>
#include <string_view>

#include "fleet/fleet.h"

namespace client_proxy::fleet_transport {

std::string toText(const fleet::MembershipSnapshot& snapshot);
// Throws std::runtime_error with what is wrong; nothing of a text that is not whole is used.
fleet::MembershipSnapshot snapshotFromText(std::string_view text);

}  // namespace client_proxy::fleet_transport
