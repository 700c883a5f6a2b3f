// Calls on sockets that do less than they were asked to, or are interrupted: they go on here.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace client_proxy {

// Reads once. `socket` is in non-blocking mode, in all of these.
template <typename Socket, typename Buffers>
std::size_t readAvailable(Socket& socket, const Buffers& into, boost::system::error_code& ec) {
  std::size_t read = 0;
  do {
    read = socket.read_some(into, ec);
  } while (ec == boost::asio::error::interrupted);
  return read;
}

// Writes until all is written, the socket takes no more (would_block) or the connection fails.
template <typename Socket>
std::size_t writeUntilBlocked(Socket& socket, boost::asio::const_buffer rest, boost::system::error_code& ec) {
  std::size_t written = 0;
  ec = {};
  while (rest.size() > 0 && (!ec || ec == boost::asio::error::interrupted)) {
    const std::size_t now = socket.write_some(boost::asio::buffer(rest), ec);
    rest += now;
    written += now;
  }
  return written;
}

// Writes all of `rest`, which the caller keeps with the socket until `done` is called with how that ended;
// not from within this. asio::async_write would take a write of a part for a full socket, and wait for an
// event that does not come where the socket has room.
template <typename Socket, typename Handler>
void writeWhole(Socket& socket, boost::asio::const_buffer rest, Handler done) {
  boost::system::error_code ec;
  rest += writeUntilBlocked(socket, rest, ec);
  if (ec != boost::asio::error::would_block) {
    boost::asio::post(socket.get_executor(), [done = std::move(done), ec]() mutable { done(ec); });
    return;
  }
  socket.async_wait(boost::asio::socket_base::wait_write,
                    [&socket, rest, done = std::move(done)](boost::system::error_code failed) mutable {
                      failed ? done(failed) : writeWhole(socket, rest, std::move(done));
                    });
}

}  // namespace client_proxy
