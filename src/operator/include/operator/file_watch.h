// Notices that a file has a new version, by looking: a watch of the system's (inotify) would miss what
// replaces a file through a link or on a network's disk, and twice a second is enough for lists of hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <tuple>

namespace client_proxy {

class FileWatch {
 public:
  // `changed` is called when the file is another than when it was last followed or told, has rested for one
  // look (it may be written in place, piece by piece), or has vanished.
  FileWatch(boost::asio::io_context& io, std::chrono::milliseconds every, std::function<void()> changed);
  // From now on this one, as it is now; empty: none.
  void follow(const std::string& path);

 private:
  // Device, inode, size and time of change, or nothing where there is no such file.
  using Version = std::optional<std::tuple<std::uint64_t, std::uint64_t, std::int64_t, std::int64_t>>;
  Version look() const;
  void wait();

  boost::asio::steady_timer timer_;
  std::chrono::milliseconds every_;
  std::function<void()> changed_;
  std::string path_;
  Version told_, seen_;
};

}  // namespace client_proxy
