#include "replica/disk_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <utility>

namespace client_proxy::replica {

namespace asio = boost::asio;

namespace {

constexpr int kNoPageLimit = 1'073'741'823;  // SQLite's own default

}  // namespace

DiskTask::DiskTask(asio::io_context& home, std::string folder, ReplicaId self, std::size_t kept,
                   Reports reports)
    : home_(home),
      folder_(std::move(folder)),
      self_(self),
      kept_(kept),
      reports_(std::move(reports)),
      loop_("replica"),
      orders_(loop_.io(), kMaxWaiting) {
  asio::co_spawn(loop_.io(), work(), asio::detached);
}

DiskTask::~DiskTask() {
  *alive_ = false;
  if (!orders_.post(End{})) orders_.close();  // full: what waits is given up, nobody was told of it
  loop_.end();
}

bool DiskTask::write(std::vector<consensus::Write> writes) {
  return orders_.post(WriteOrder{std::move(writes)});
}

bool DiskTask::read(std::uint64_t token, Version from, std::size_t max_count, std::size_t max_text_bytes) {
  return orders_.post(ReadOrder{token, from, max_count, max_text_bytes});
}

void DiskTask::open() { orders_.post(OpenOrder{}); }

void DiskTask::limitPages(int most) { orders_.post(LimitOrder{most}); }

asio::awaitable<void> DiskTask::work() {
  while (const auto order = co_await orders_.take()) {
    if (std::holds_alternative<End>(*order)) co_return;
    std::visit([this](const auto& one) { carryOut(one); }, *order);
  }
}

void DiskTask::openHere() { tryToOpen()(); }

// What there is to report of it.
std::function<void()> DiskTask::tryToOpen() {
  std::error_code ignored;  // a folder that can't be made is one in which no file can be opened
  std::filesystem::create_directories(folder_, ignored);
  usable_ = false;
  store_.reset();
  try {
    store_ = std::make_unique<Store>(folder_ + "/replica.db", self_, kept_);
    if (page_limit_ > 0) store_->limitPages(page_limit_);
    Loaded loaded;
    loaded.state = store_->load();
    const Version newest = loaded.state.version();
    const Version from = newest >= kNewest ? newest - kNewest + 1 : 1;
    loaded.newest = store_->changesFrom(from, kNewest, kNewestTextBytes);
    const bool whole = loaded.newest.empty() || loaded.newest.back().version == newest;
    if (!whole) loaded.newest = store_->changesFrom(newest, 1, 0);
    usable_ = true;
    return [this, loaded = std::move(loaded)] { reports_.opened(loaded); };
  } catch (const sqlite::Error& e) {
    store_.reset();
    return [this, e] { reports_.not_opened(e); };
  }
}

void DiskTask::carryOut(const OpenOrder& /*order*/) { report(tryToOpen()); }

void DiskTask::carryOut(const WriteOrder& order) {
  if (!usable_) return;
  try {
    store_->write(order.writes);
    report([this] { reports_.written(); });
  } catch (const sqlite::Error& e) {
    usable_ = false;
    report([this, e] { reports_.failed(e); });
  }
}

void DiskTask::carryOut(const ReadOrder& order) {
  std::vector<Change> changes;
  try {
    if (store_) changes = store_->changesFrom(order.from, order.max_count, order.max_text_bytes);
  } catch (const sqlite::Error&) {
    // Whoever asked asks another replica; the next opening names the row.
  }
  report([this, token = order.token, changes = std::move(changes)]() mutable {
    reports_.changes(token, std::move(changes));
  });
}

void DiskTask::carryOut(const LimitOrder& order) {
  page_limit_ = order.most;
  if (store_) store_->limitPages(order.most > 0 ? order.most : kNoPageLimit);
}

void DiskTask::report(std::function<void()> call) {
  asio::post(home_, [alive = alive_, call = std::move(call)] {
    if (*alive) call();
  });
}

}  // namespace client_proxy::replica
