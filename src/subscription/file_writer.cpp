#include "subscription/file_writer.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "subscription/shared_file.h"

namespace client_proxy::subscription {
namespace {

int createEventDescriptor() {
  const int descriptor = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (descriptor < 0)
    throw boost::system::system_error(errno, boost::system::system_category(),
                                      "cannot create an eventfd for the file writer");
  return descriptor;
}

}  // namespace

FileWriter::FileWriter(boost::asio::io_context& io) : completion_(io, createEventDescriptor()) {}

FileWriter::~FileWriter() { finish(); }

void FileWriter::write(const std::string& path, std::string content, WriteCallback callback) {
  finish();
  callback_ = std::move(callback);
  awaitCompletion();
  const auto work = [this, path, content = std::move(content)] {
    error_ = replaceSharedFile(path, content);
    ::eventfd_write(completion_.native_handle(), 1);
  };
  try {
    thread_ = std::thread(work);
  } catch (const std::system_error&) {
    work();  // no thread available: write synchronously
  }
}

void FileWriter::awaitCompletion() {
  completion_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
                           if (ec || alive.expired()) return;
                           const WriteCallback callback = std::exchange(callback_, nullptr);
                           finish();
                           if (callback) callback(std::string(error_));
                         });
}

void FileWriter::finish() {
  callback_ = nullptr;
  boost::system::error_code ignored;
  completion_.cancel(ignored);
  if (thread_.joinable()) thread_.join();
  eventfd_t count = 0;
  ::eventfd_read(completion_.native_handle(), &count);
}

}  // namespace client_proxy::subscription
