#include "operator/file_watch.h"

#include <sys/stat.h>

#include <utility>

namespace client_proxy {

FileWatch::FileWatch(boost::asio::io_context& io, std::chrono::milliseconds every,
                     std::function<void()> changed)
    : timer_(io), every_(every), changed_(std::move(changed)) {}

void FileWatch::follow(const std::string& path) {
  path_ = path;
  told_ = seen_ = look();
  path_.empty() ? static_cast<void>(timer_.cancel()) : wait();
}

FileWatch::Version FileWatch::look() const {
  struct stat s {};
  if (path_.empty() || stat(path_.c_str(), &s) != 0) return std::nullopt;
  return std::tuple{static_cast<std::uint64_t>(s.st_dev), static_cast<std::uint64_t>(s.st_ino),
                    static_cast<std::int64_t>(s.st_size),
                    s.st_mtim.tv_sec * 1'000'000'000LL + s.st_mtim.tv_nsec};
}

void FileWatch::wait() {
  timer_.expires_after(every_);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    const Version now = look();
    const bool rests = now == seen_;
    seen_ = now;
    if (rests && now != told_) {
      told_ = now;
      changed_();
    }
    if (!path_.empty()) wait();
  });
}

}  // namespace client_proxy
