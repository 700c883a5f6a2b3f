// Replaces files on a thread of its own, for an fsync may take long and the loop has requests to serve. The
// thread is there only while something is written.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace client_proxy::subscription {

class FileWriter {
 public:
  /// Called on the loop with what went wrong; empty: nothing.
  using Written = std::function<void(const std::string& error)>;

  /// Throws boost::system::system_error where the system has no descriptor left.
  explicit FileWriter(boost::asio::io_context& io);
  /// As finish().
  ~FileWriter();
  FileWriter(const FileWriter&) = delete;
  FileWriter& operator=(const FileWriter&) = delete;

  /// As replaceSharedFile(). One at a time: not before `written` was called or finish().
  void write(const std::string& path, std::string content, Written written);
  /// Returns once nothing is written any more; what was told to write() is not called any more.
  void finish();

 private:
  void await();

  boost::asio::posix::stream_descriptor ended_;  // of an eventfd: the loop takes no calls of other threads
  std::thread thread_;
  std::string error_;  // the thread's until it is joined
  Written written_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace client_proxy::subscription
