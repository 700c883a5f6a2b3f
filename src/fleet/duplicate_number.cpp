#include "fleet/duplicate_number.h"

namespace client_proxy::fleet {

bool DuplicateNumber::onForeignIncarnation(Time now, Incarnation incarnation) {
  const std::uint16_t nonce = nonceOf(incarnation);
  foreign_raises_ = nonce == foreign_nonce_ ? foreign_raises_ + 1 : 1;
  foreign_nonce_ = nonce;
  if (foreign_raises_ >= kRaisesOfRunningProcess) foreign_at_ = now;
  return foreign_raises_ <= 1 || now - refuted_at_ >= kRefuteInterval;
}

}  // namespace client_proxy::fleet
