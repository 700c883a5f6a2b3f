#include "net/memory_account.h"

#include <algorithm>
#include <utility>

namespace client_proxy {
namespace {

// The part of the limit that requests may use.
constexpr std::size_t kRequestParts = 3, kAllParts = 4;

}  // namespace

std::size_t MemoryAccount::limitOf(MemoryUse use) const {
  return use == MemoryUse::Request ? limit_ / kAllParts * kRequestParts : limit_;
}

bool MemoryAccount::fits(MemoryUse use, std::size_t more) const {
  std::size_t all = 0;
  for (const Side& side : sides_) all += side.limited;
  return all + more <= limit_ && sideOf(use).limited + more <= limitOf(use);
}

std::size_t MemoryAccount::waiting() const {
  std::size_t all = 0;
  for (const Side& side : sides_) all += side.waiting.size();
  return all;
}

void MemoryAccount::wakeWaiting() {
  room_announced_ = false;
  wakeWaiting(MemoryUse::Answer);
  wakeWaiting(MemoryUse::Request);
}

void MemoryAccount::wakeWaiting(MemoryUse use) {
  Side& side = sideOf(use);
  while (!side.waiting.empty()) {
    MemoryShare* const share = side.waiting.front();
    if (!share->fits(share->wanted_)) {
      if (side.over_limit != nullptr || isOver(use)) return;
      side.over_limit = share;
    }
    side.waiting.pop_front();
    side.called = share;
    const auto wake = share->wake_;  // a copy: the share may go meanwhile
    wake();
    side.called = nullptr;
  }
}

void MemoryAccount::onReleased(MemoryUse use) {
  if (!isOver(use)) sideOf(use).over_limit = nullptr;
  const bool waits =
      std::any_of(sides_.begin(), sides_.end(), [](const Side& s) { return !s.waiting.empty(); });
  if (waits) announceRoom();
}

void MemoryAccount::announceRoom() {
  if (on_room_ && !std::exchange(room_announced_, true)) on_room_();
}

MemoryShare::MemoryShare(std::shared_ptr<MemoryAccount> account, MemoryUse use, std::function<void()> wake)
    : account_(std::move(account)), use_(use), wake_(std::move(wake)) {}

MemoryShare::~MemoryShare() {
  cancelWait();
  MemoryAccount::Side& side = account_->sideOf(use_);
  if (side.over_limit == this) side.over_limit = nullptr;
  if (side.called == this) side.called = nullptr;
  set(0);
}

bool MemoryShare::reserve(std::size_t bytes) {
  if (tryReserve(bytes)) return true;
  MemoryAccount::Side& side = account_->sideOf(use_);
  wanted_ = bytes;
  if (std::find(side.waiting.begin(), side.waiting.end(), this) == side.waiting.end())
    side.waiting.push_back(this);
  // Where nobody exceeds the limit the first can go on at once, but in turn.
  if (side.over_limit == nullptr && !account_->isOver(use_)) account_->announceRoom();
  return false;
}

bool MemoryShare::hasRoom(std::size_t bytes) const {
  if (bytes <= held_ || bytes <= MemoryAccount::kAlwaysGranted) return true;
  const MemoryAccount::Side& side = account_->sideOf(use_);
  const bool first = side.waiting.empty() || side.called == this;
  return side.over_limit == this || (first && fits(bytes));
}

bool MemoryShare::tryReserve(std::size_t bytes) {
  if (!hasRoom(bytes)) return false;
  if (bytes > held_) set(bytes);
  return true;
}

void MemoryShare::set(std::size_t bytes) {
  MemoryAccount::Side& side = account_->sideOf(use_);
  const std::size_t before = std::exchange(held_, bytes);
  side.used = side.used - before + bytes;
  side.limited = side.limited - limitedPart(before) + limitedPart(bytes);
  if (bytes < before) account_->onReleased(use_);
}

void MemoryShare::cancelWait() { std::erase(account_->sideOf(use_).waiting, this); }

}  // namespace client_proxy
