#include "subscription/file_writer.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "subscription/shared_file.h"

namespace client_proxy::subscription {
namespace {

int newEventDescriptor() {
  const int descriptor = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (descriptor < 0)
    throw boost::system::system_error(errno, boost::system::system_category(), "no descriptor for a writer");
  return descriptor;
}

}  // namespace

FileWriter::FileWriter(boost::asio::io_context& io) : ended_(io, newEventDescriptor()) {}

FileWriter::~FileWriter() { finish(); }

void FileWriter::write(const std::string& path, std::string content, Written written) {
  finish();
  written_ = std::move(written);
  await();
  const auto work = [this, path, content = std::move(content)] {
    error_ = replaceSharedFile(path, content);
    ::eventfd_write(ended_.native_handle(), 1);
  };
  try {
    thread_ = std::thread(work);
  } catch (const std::system_error&) {
    work();  // the system has no thread left
  }
}

void FileWriter::await() {
  ended_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                    [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
                      if (ec || alive.expired()) return;
                      const Written written = std::exchange(written_, nullptr);
                      finish();
                      if (written) written(std::string(error_));
                    });
}

void FileWriter::finish() {
  written_ = nullptr;
  boost::system::error_code ignored;
  ended_.cancel(ignored);
  if (thread_.joinable()) thread_.join();
  eventfd_t count = 0;
  ::eventfd_read(ended_.native_handle(), &count);
}

}  // namespace client_proxy::subscription
