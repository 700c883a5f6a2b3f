#include "fleet_transport/membership_service.h"

namespace client_proxy::fleet_transport {

std::unique_ptr<MembershipService> makeMembershipService(boost::asio::io_context&, const Clock&, Log& log,
                                                         const FleetSettings&, LocalNode&) {
  log.line("fleet: this program was built without CLIENT_PROXY_FLEET: membership is disabled",
           LogLevel::Warning);
  return nullptr;
}

}  // namespace client_proxy::fleet_transport
