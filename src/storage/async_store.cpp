#include "storage/async_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <utility>

namespace quinceline::storage {

namespace asio = boost::asio;

AsyncStore::AsyncStore(asio::io_context& home, const std::string& folder, const Store::Owner& owner,
                       Words words)
    : home_(home), words_(std::move(words)) {
  try {
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    store_ = std::make_unique<Store>(folder + "/memory.db", owner);
    memory_ = store_->load();
  } catch (const StoreFault& e) {
    store_.reset();
    fault_ = std::string(nameOf(e.fault)) + ": " + e.what();
    return;
  }
  loop_ = std::make_unique<tasks::Loop>("memory");
  orders_ = std::make_unique<tasks::Mailbox<Order>>(loop_->io(), kMostWaiting);
  asio::co_spawn(loop_->io(), work(), asio::detached);
}

AsyncStore::~AsyncStore() {
  *alive_ = false;
  if (!loop_) return;
  if (!orders_->post(End{})) orders_->close();  // full: what waits is given up, nobody was told of it
  loop_->end();
}

bool AsyncStore::write(Change change) { return orders_ && orders_->post(std::move(change)); }

void AsyncStore::renounce() {
  if (orders_) orders_->post(Renounce{});
}

// What waits when the disk is free goes there together: one sync for all.
asio::awaitable<void> AsyncStore::work() {
  while (auto order = co_await orders_->take()) {
    std::vector<Order> orders;
    orders.push_back(std::move(*order));
    while (orders.size() < kAtOnce) {
      auto more = orders_->takeNow();
      if (!more) break;
      orders.push_back(std::move(*more));
    }
    if (!carryOut(orders)) co_return;
  }
}

bool AsyncStore::carryOut(std::vector<Order>& orders) {
  std::vector<Change> changes;
  const auto flush = [&] {
    if (changes.empty()) return;
    try {
      store_->write(changes);
      ++syncs_;
      tell(std::exchange(changes, {}), true, {});
    } catch (const StoreFault& e) {
      tell(std::exchange(changes, {}), false, std::string(nameOf(e.fault)) + ": " + e.what());
    }
  };
  for (Order& order : orders) {
    if (Change* const change = std::get_if<Change>(&order)) {
      changes.push_back(std::move(*change));
      continue;
    }
    flush();
    if (std::holds_alternative<End>(order)) return false;
    try {
      store_->renounce();
      ++syncs_;
    } catch (const StoreFault& e) {
      tell({}, false, std::string(nameOf(e.fault)) + ": " + e.what());
    }
  }
  flush();
  return true;
}

void AsyncStore::tell(std::vector<Change> changes, bool ok, std::string fault) {
  const bool news = std::exchange(told_, fault) != fault;
  asio::post(home_, [this, alive = alive_, changes = std::move(changes), ok, fault = std::move(fault), news] {
    if (!*alive) return;
    if (news) words_.troubled(fault);
    for (const Change& c : changes) words_.written(c, ok);
  });
}

}  // namespace quinceline::storage
