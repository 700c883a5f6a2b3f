// Frames over a Unix socket (SOCK_SEQPACKET, unix(7)), with a descriptor beside one where there is one to
// give.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "hot_restart/frame.h"

namespace client_proxy::hot_restart {

// A descriptor that is closed with its owner.
class OwnedDescriptor {
 public:
  OwnedDescriptor() = default;
  explicit OwnedDescriptor(int fd) : fd_(fd) {}
  OwnedDescriptor(OwnedDescriptor&& other) noexcept : fd_(other.release()) {}
  OwnedDescriptor& operator=(OwnedDescriptor&& other) noexcept;
  ~OwnedDescriptor();
  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  int release() {
    const int fd = fd_;
    fd_ = -1;
    return fd;
  }

 private:
  int fd_ = -1;
};

class Channel : public std::enable_shared_from_this<Channel> {
 public:
  // `on_frame` may get a descriptor with it. `on_gone`: once, when the other side has closed or said what
  // can't be read; not after close().
  using OnFrame = std::function<void(const Frame&, OwnedDescriptor)>;
  using OnGone = std::function<void()>;

  Channel(boost::asio::io_context& io, OwnedDescriptor socket);
  void start(OnFrame on_frame, OnGone on_gone);
  // In order; what the kernel does not take yet waits here. False: the channel is closed, or too much waits
  // for a descriptor to be taken along.
  bool send(const Frame& frame);
  // The descriptor is given along; the caller's own stays open and is the caller's.
  bool send(const Frame& frame, int descriptor);
  void close();
  bool open() const { return socket_.is_open(); }
  // Messages that the kernel has not taken yet.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Outgoing {
    std::string message;
    OwnedDescriptor descriptor;
  };
  enum class Sent { Yes, Later, Broken };

  Sent trySend(const std::string& message, int descriptor);
  void flush();
  void awaitRoom();
  void awaitFrame();
  void receive();
  void gone();

  static constexpr std::size_t kMostWaiting = 1024;

  boost::asio::posix::stream_descriptor socket_;
  std::deque<Outgoing> waiting_;
  OnFrame on_frame_;
  OnGone on_gone_;
  bool awaits_room_ = false;
};

// Both throw std::runtime_error with what is wrong. A path too long for a socket's address is reached through
// its folder's descriptor (unix(7) has 108 bytes).
OwnedDescriptor connectTo(const std::string& path);
// Takes the path over from whoever has it, at once: a caller reaches the one or the other.
OwnedDescriptor listenAt(const std::string& path);

}  // namespace client_proxy::hot_restart
