#include "fleet/duplicate_number.h"

namespace client_proxy::fleet {

bool DuplicateNumber::onForeignIncarnation(Time now, Incarnation incarnation) {
  const std::uint16_t life = lifeOf(incarnation);
  foreign_raises_ = life == foreign_life_ ? foreign_raises_ + 1 : 1;
  foreign_life_ = life;
  if (foreign_raises_ >= kRaisesOfALiveProcess) foreign_at_ = now;
  return foreign_raises_ <= 1 || now - refuted_at_ >= kRefuteEvery;
}

}  // namespace client_proxy::fleet
