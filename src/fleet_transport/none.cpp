#include "fleet_transport/neighbours.h"

namespace client_proxy::fleet_transport {

std::unique_ptr<Neighbours> makeNeighbours(boost::asio::io_context&, const Clock&, Log& log,
                                           const FleetSettings&, Local&) {
  log.line("fleet: this program was built without CLIENT_PROXY_FLEET: no view of it is kept",
           LogLevel::Warning);
  return nullptr;
}

}  // namespace client_proxy::fleet_transport
