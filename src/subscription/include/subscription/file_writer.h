// Replaces files on a separate thread, because an fsync may block for long and the event loop has requests to
// serve. The thread exists only during a write.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace client_proxy::subscription {

/// Writes one file at a time without blocking the event loop.
class FileWriter {
 public:
  /// Called on the event loop with an error message, which is empty on success.
  using WriteCallback = std::function<void(const std::string& error)>;

  /// Throws boost::system::system_error if no eventfd can be created, for instance at the descriptor limit.
  explicit FileWriter(boost::asio::io_context& io);
  /// Calls finish().
  ~FileWriter();
  FileWriter(const FileWriter&) = delete;
  FileWriter& operator=(const FileWriter&) = delete;

  /// Replaces the file as replaceSharedFile() does. Only one write may be in progress: call it again only
  /// after `callback` has run or finish() has returned.
  void write(const std::string& path, std::string content, WriteCallback callback);
  /// Blocks until a write in progress has ended and discards its callback.
  void finish();

 private:
  void awaitCompletion();

  // An eventfd set by thread_, because the loop is not thread-safe.
  boost::asio::posix::stream_descriptor completion_;
  std::thread thread_;
  std::string error_;  // owned by thread_ until it is joined
  WriteCallback callback_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace client_proxy::subscription
