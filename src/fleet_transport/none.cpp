#include "fleet_transport/neighbours.h"

namespace quinceline::fleet_transport {

std::unique_ptr<Neighbours> makeNeighbours(boost::asio::io_context&, const Clock&, Log& log,
                                           const FleetSettings&, Local&) {
  log.line("fleet: this program was built without WELDFLOW_FLEET: no view of it is kept", LogLevel::Warning);
  return nullptr;
}

}  // namespace quinceline::fleet_transport
