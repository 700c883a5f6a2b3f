#include "storage/async_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <utility>

namespace client_proxy::storage {

namespace asio = boost::asio;

AsyncStore::AsyncStore(asio::io_context& callback_io, const std::string& folder, const Store::Owner& owner,
                       Callbacks callbacks)
    : callback_io_(callback_io), callbacks_(std::move(callbacks)) {
  try {
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    store_ = std::make_unique<Store>(folder + "/memory.db", owner);
    contents_ = store_->load();
  } catch (const sqlite::Error& e) {
    store_.reset();
    fault_ = std::string(nameOf(e.fault())) + ": " + e.what();
    return;
  }
  loop_ = std::make_unique<tasks::Loop>("memory");
  requests_ = std::make_unique<tasks::Mailbox<Request>>(loop_->io(), kMaxQueued);
  asio::co_spawn(loop_->io(), work(), asio::detached);
}

AsyncStore::~AsyncStore() {
  *alive_ = false;
  if (!loop_) return;
  if (!requests_->post(End{}))
    requests_->close();  // full: pending changes are dropped, none of them was reported as written
  loop_->end();
}

bool AsyncStore::write(Change change) { return requests_ && requests_->post(std::move(change)); }

void AsyncStore::discard() {
  if (requests_) requests_->post(Discard{});
}

// Changes that are queued while a write is under way are written together afterwards, with one sync.
asio::awaitable<void> AsyncStore::work() {
  while (auto request = co_await requests_->take()) {
    std::vector<Request> requests;
    requests.push_back(std::move(*request));
    while (requests.size() < kMaxBatch) {
      auto more = requests_->takeNow();
      if (!more) break;
      requests.push_back(std::move(*more));
    }
    if (!process(requests)) co_return;
  }
}

bool AsyncStore::process(std::vector<Request>& requests) {
  std::vector<Change> changes;
  const auto flush = [&] {
    if (changes.empty()) return;
    try {
      store_->write(changes);
      ++syncs_;
      report(std::exchange(changes, {}), true, {});
    } catch (const sqlite::Error& e) {
      report(std::exchange(changes, {}), false, std::string(nameOf(e.fault())) + ": " + e.what());
    }
  };
  for (Request& request : requests) {
    if (Change* const change = std::get_if<Change>(&request)) {
      changes.push_back(std::move(*change));
      continue;
    }
    flush();
    if (std::holds_alternative<End>(request)) return false;
    try {
      store_->discard();
      ++syncs_;
    } catch (const sqlite::Error& e) {
      report({}, false, std::string(nameOf(e.fault())) + ": " + e.what());
    }
  }
  flush();
  return true;
}

void AsyncStore::report(std::vector<Change> changes, bool ok, std::string fault) {
  const bool fault_changed = std::exchange(reported_fault_, fault) != fault;
  asio::post(callback_io_, [this, alive = alive_, changes = std::move(changes), ok, fault = std::move(fault),
                            fault_changed] {
    if (!*alive) return;
    if (fault_changed) callbacks_.fault_changed(fault);
    for (const Change& c : changes) callbacks_.written(c, ok);
  });
}

}  // namespace client_proxy::storage
