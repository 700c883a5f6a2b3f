#include "hot_restart/channel.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace client_proxy::hot_restart {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kLargestMessage = kMostPayload + 64;
constexpr int kFramesInARow = 32;  // before others have their turn

[[noreturn]] void fail(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

// A socket's address for `path`, which may go through the descriptor of its folder.
struct Address {
  explicit Address(const std::string& path) {
    sockaddr_un empty{};
    address = empty;
    address.sun_family = AF_UNIX;
    std::string name = path;
    if (name.size() >= sizeof address.sun_path) {
      const std::size_t slash = path.rfind('/');
      if (slash == std::string::npos) throw std::runtime_error("too long for a socket: " + path);
      folder = OwnedDescriptor(::open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
      if (!folder.valid()) fail(path);
      name = "/proc/self/fd/" + std::to_string(folder.get()) + path.substr(slash);
    }
    if (name.size() >= sizeof address.sun_path) throw std::runtime_error("too long for a socket: " + path);
    std::memcpy(address.sun_path, name.data(), name.size());
  }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address); }
  OwnedDescriptor folder;
  sockaddr_un address;
};

OwnedDescriptor newSocket() {
  OwnedDescriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.valid()) fail("no socket");
  return socket;
}

}  // namespace

OwnedDescriptor& OwnedDescriptor::operator=(OwnedDescriptor&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = other.release();
  }
  return *this;
}

OwnedDescriptor::~OwnedDescriptor() {
  if (fd_ >= 0) ::close(fd_);
}

OwnedDescriptor connectTo(const std::string& path) {
  const Address address(path);
  OwnedDescriptor socket = newSocket();
  if (::connect(socket.get(), address.get(), sizeof address.address) != 0) fail(path);
  return socket;
}

OwnedDescriptor listenAt(const std::string& path) {
  const std::string own = path + "." + std::to_string(::getpid());
  const Address address(own);
  OwnedDescriptor socket = newSocket();
  ::unlink(own.c_str());
  if (::bind(socket.get(), address.get(), sizeof address.address) != 0) fail(own);
  if (::listen(socket.get(), 8) != 0 || std::rename(own.c_str(), path.c_str()) != 0) {
    const int saved = errno;
    ::unlink(own.c_str());
    errno = saved;
    fail(path);
  }
  return socket;
}

Channel::Channel(asio::io_context& io, OwnedDescriptor socket) : socket_(io, socket.release()) {}

void Channel::start(OnFrame on_frame, OnGone on_gone) {
  on_frame_ = std::move(on_frame);
  on_gone_ = std::move(on_gone);
  awaitFrame();
}

bool Channel::send(const Frame& frame) {
  if (!open()) return false;
  waiting_.push_back({encode(frame), {}});
  flush();
  return open();
}

bool Channel::send(const Frame& frame, int descriptor) {
  if (!open() || waiting_.size() >= kMostWaiting) return false;
  OwnedDescriptor copy(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
  if (!copy.valid()) return false;
  waiting_.push_back({encode(frame), std::move(copy)});
  flush();
  return true;
}

Channel::Sent Channel::trySend(const std::string& message, int descriptor) {
  iovec part{const_cast<char*>(message.data()), message.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  if (descriptor >= 0) {
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    cmsghdr* const c = CMSG_FIRSTHDR(&header);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(c), &descriptor, sizeof descriptor);
  }
  for (;;) {
    if (::sendmsg(socket_.native_handle(), &header, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0) return Sent::Yes;
    if (errno == EINTR) continue;
    // ETOOMANYREFS: more descriptors are under way than the system allows.
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS || errno == ETOOMANYREFS
               ? Sent::Later
               : Sent::Broken;
  }
}

void Channel::flush() {
  while (!waiting_.empty()) {
    const Sent sent = trySend(waiting_.front().message, waiting_.front().descriptor.get());
    if (sent == Sent::Later) return awaitRoom();
    if (sent == Sent::Broken) return;  // its end is read
    waiting_.pop_front();
  }
}

void Channel::awaitRoom() {
  if (std::exchange(awaits_room_, true)) return;
  socket_.async_wait(asio::posix::descriptor_base::wait_write, [self = shared_from_this()](error_code ec) {
    self->awaits_room_ = false;
    if (!ec && self->open()) self->flush();
  });
}

void Channel::awaitFrame() {
  socket_.async_wait(asio::posix::descriptor_base::wait_read, [self = shared_from_this()](error_code ec) {
    if (!ec && self->open()) self->receive();
  });
}

void Channel::receive() {
  std::string message(kLargestMessage, '\0');
  for (int n = 0; n < kFramesInARow && open(); ++n) {
    iovec part{message.data(), message.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(4 * sizeof(int))> control{};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    const ssize_t got = ::recvmsg(socket_.native_handle(), &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (got <= 0) return gone();
    OwnedDescriptor descriptor;
    for (cmsghdr* c = CMSG_FIRSTHDR(&header); c != nullptr; c = CMSG_NXTHDR(&header, c)) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
      const std::size_t count = (c->cmsg_len - CMSG_LEN(0)) / sizeof(int);
      for (std::size_t i = 0; i < count; ++i) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(c) + i * sizeof(int), sizeof fd);
        descriptor = OwnedDescriptor(fd);  // of several, which nobody of ours sends, the last
      }
    }
    const auto frame = decode(std::string_view(message.data(), static_cast<std::size_t>(got)));
    if (!frame || (header.msg_flags & MSG_TRUNC) != 0) return gone();
    on_frame_(*frame, std::move(descriptor));
  }
  if (open()) awaitFrame();
}

void Channel::gone() {
  close();
  if (const OnGone told = std::exchange(on_gone_, nullptr)) told();
}

void Channel::close() {
  error_code ignored;
  socket_.close(ignored);
  waiting_.clear();
}

}  // namespace client_proxy::hot_restart
