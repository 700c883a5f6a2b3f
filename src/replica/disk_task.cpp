#include "replica/disk_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <utility>

namespace client_proxy::replica {

namespace asio = boost::asio;

namespace {

constexpr int kNoPageLimit = 1'073'741'823;  // SQLite's default

}  // namespace

DiskTask::DiskTask(asio::io_context& callback_io, std::string folder, ReplicaId self,
                   std::size_t kept_changes, Callbacks callbacks)
    : callback_io_(callback_io),
      folder_(std::move(folder)),
      self_(self),
      kept_changes_(kept_changes),
      callbacks_(std::move(callbacks)),
      loop_("replica"),
      commands_(loop_.io(), kMaxQueued) {
  asio::co_spawn(loop_.io(), processCommands(), asio::detached);
}

DiskTask::~DiskTask() {
  *alive_ = false;
  if (!commands_.post(StopCommand{}))
    commands_.close();  // full: queued commands are dropped; their results were not reported
  loop_.end();
}

bool DiskTask::write(std::vector<consensus::Write> writes) {
  return commands_.post(WriteCommand{std::move(writes)});
}

bool DiskTask::read(std::uint64_t token, Version from, std::size_t max_count, std::size_t max_text_bytes) {
  return commands_.post(ReadCommand{token, from, max_count, max_text_bytes});
}

void DiskTask::open() { commands_.post(OpenCommand{}); }

void DiskTask::limitPages(int max_pages) { commands_.post(LimitPagesCommand{max_pages}); }

asio::awaitable<void> DiskTask::processCommands() {
  while (const auto command = co_await commands_.take()) {
    if (std::holds_alternative<StopCommand>(*command)) co_return;
    std::visit([this](const auto& one) { execute(one); }, *command);
  }
}

void DiskTask::openSync() { tryOpen()(); }

// Returns the callback that reports the result.
std::function<void()> DiskTask::tryOpen() {
  std::error_code ignored;  // if the folder can't be created, opening the file fails below
  std::filesystem::create_directories(folder_, ignored);
  usable_ = false;
  store_.reset();
  try {
    store_ = std::make_unique<Store>(folder_ + "/replica.db", self_, kept_changes_);
    if (page_limit_ > 0) store_->limitPages(page_limit_);
    LoadedState loaded;
    loaded.state = store_->load();
    const Version newest = loaded.state.version();
    const Version from = newest >= kMaxRecent ? newest - kMaxRecent + 1 : 1;
    loaded.recent = store_->changesFrom(from, kMaxRecent, kMaxRecentTextBytes);
    const bool newest_included = loaded.recent.empty() || loaded.recent.back().version == newest;
    if (!newest_included) loaded.recent = store_->changesFrom(newest, 1, 0);
    usable_ = true;
    return [this, loaded = std::move(loaded)] { callbacks_.opened(loaded); };
  } catch (const sqlite::Error& e) {
    store_.reset();
    return [this, e] { callbacks_.open_failed(e); };
  }
}

void DiskTask::execute(const OpenCommand& /*command*/) { postCallback(tryOpen()); }

void DiskTask::execute(const WriteCommand& command) {
  if (!usable_) return;
  try {
    store_->write(command.writes);
    postCallback([this] { callbacks_.written(); });
  } catch (const sqlite::Error& e) {
    usable_ = false;
    postCallback([this, e] { callbacks_.write_failed(e); });
  }
}

void DiskTask::execute(const ReadCommand& command) {
  std::vector<Change> changes;
  try {
    if (store_) changes = store_->changesFrom(command.from, command.max_count, command.max_text_bytes);
  } catch (const sqlite::Error&) {
    // The requester turns to another replica; the next open reports the corrupt row.
  }
  postCallback([this, token = command.token, changes = std::move(changes)]() mutable {
    callbacks_.changes_read(token, std::move(changes));
  });
}

void DiskTask::execute(const LimitPagesCommand& command) {
  page_limit_ = command.max_pages;
  if (store_) store_->limitPages(command.max_pages > 0 ? command.max_pages : kNoPageLimit);
}

void DiskTask::postCallback(std::function<void()> call) {
  asio::post(callback_io_, [alive = alive_, call = std::move(call)] {
    if (*alive) call();
  });
}

}  // namespace client_proxy::replica
