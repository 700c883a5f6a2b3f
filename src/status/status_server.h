// A listener for operators on a loopback address: GET of a few pages, each made when it is asked for. Bounded
// in connections, time and bytes; it never shares a limit with clients. Off unless an operator file names it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace quinceline {

class StatusServer {
 public:
  using Page = std::function<std::string()>;  // the page as JSON text

  explicit StatusServer(boost::asio::io_context& io);
  ~StatusServer();

  void page(std::string path, Page make) { pages_[std::move(path)] = std::move(make); }
  // Throws std::runtime_error with what is wrong: not a loopback address, or the system does not give it.
  void listen(const boost::asio::ip::tcp::endpoint& at);
  boost::asio::ip::tcp::endpoint localEndpoint() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return *open_; }

  static constexpr std::size_t kMostConnections = 8;

 private:
  class Session;

  void accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, Page, std::less<>> pages_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);  // sessions may outlive this
};

}  // namespace quinceline
