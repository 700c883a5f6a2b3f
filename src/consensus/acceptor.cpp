#include "consensus/acceptor.h"

#include <algorithm>

namespace client_proxy::consensus {

void Acceptor::advanceTo(Version slot) {
  if (vote_.slot < slot) vote_ = Vote{.slot = slot, .promised = {}, .accepted = {}, .value = {}};
}

Acceptor::Answer Acceptor::onPrepare(const Prepare& prepare, bool& changed) {
  changed = false;
  if (!votesIn(prepare.slot) || vote_.slot > prepare.slot) return {};
  advanceTo(prepare.slot);
  if (prepare.ballot < vote_.promised) return Rejected{prepare.slot, prepare.ballot, vote_.promised};
  changed = prepare.ballot != vote_.promised;
  vote_.promised = prepare.ballot;
  return Promise{prepare.slot, prepare.ballot, vote_.accepted, vote_.value};
}

Acceptor::Answer Acceptor::onAccept(const Accept& accept, bool& changed) {
  changed = false;
  if (!votesIn(accept.slot) || vote_.slot > accept.slot) return {};
  advanceTo(accept.slot);
  if (accept.ballot < vote_.promised) return Rejected{accept.slot, accept.ballot, vote_.promised};
  changed = accept.ballot != vote_.accepted;
  vote_.promised = accept.ballot;
  vote_.accepted = accept.ballot;
  if (changed) vote_.value = accept.value;
  return Accepted{accept.slot, accept.ballot};
}

void Acceptor::adopt(const Vote& known) {
  if (known.slot < vote_.slot) return;
  advanceTo(known.slot);
  vote_.promised = std::max(vote_.promised, known.promised);
  if (known.accepted <= vote_.accepted) return;
  vote_.accepted = known.accepted;
  vote_.value = known.value;
}

void Acceptor::onChosen(Version version) {
  if (vote_.slot <= version) vote_ = Vote{};
}

}  // namespace client_proxy::consensus
