// Preloaded into a process: some of its calls on sockets fail, or do half of what was asked, as Linux
// documents that they may. FAILING_CALLS names what, as "accept=ECONNABORTED:10 send=short:30", with the
// chance in a hundred; FAILING_SEED seeds the chance.
#include <dlfcn.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>

namespace {

constexpr int kShort = -1;  // in place of an error's number

struct Failure {
  int error = 0;  // 0: none
  unsigned percent = 0;
};

const std::map<std::string, int> kErrors = {{"short", kShort},
                                            {"ECONNABORTED", ECONNABORTED},
                                            {"EINTR", EINTR},
                                            {"EMFILE", EMFILE},
                                            {"ENFILE", ENFILE},
                                            {"ENOBUFS", ENOBUFS},
                                            {"ENOMEM", ENOMEM},
                                            {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                            {"ENETUNREACH", ENETUNREACH}};

std::map<std::string, Failure> readFailures() {
  std::map<std::string, Failure> failures;
  const char* const text = std::getenv("FAILING_CALLS");
  std::istringstream words(text == nullptr ? "" : text);
  for (std::string word; words >> word;) {
    const std::size_t equals = word.find('='), colon = word.find(':');
    if (equals == std::string::npos || colon == std::string::npos) std::abort();
    const auto error = kErrors.find(word.substr(equals + 1, colon - equals - 1));
    if (error == kErrors.end()) std::abort();
    failures[word.substr(0, equals)] = {error->second,
                                        static_cast<unsigned>(std::stoul(word.substr(colon + 1)))};
  }
  return failures;
}

// The error that this call fails with; 0: it does not.
int failureOf(const std::string& call) {
  static const std::map<std::string, Failure> failures = readFailures();
  static const char* const seed = std::getenv("FAILING_SEED");
  static std::atomic<std::uint64_t> state{seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10)};
  const auto it = failures.find(call);
  if (it == failures.end()) return 0;
  std::uint64_t drawn = state += 0x9E3779B97F4A7C15ULL;  // splitmix64
  drawn = (drawn ^ (drawn >> 30)) * 0xBF58476D1CE4E5B9ULL;
  drawn = (drawn ^ (drawn >> 27)) * 0x94D049BB133111EBULL;
  drawn ^= drawn >> 31;
  return drawn % 100 < it->second.percent ? it->second.error : 0;
}

template <typename Function>
Function systemCall(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

// Messages of other sockets go whole or not at all.
bool isStream(int socket) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

// True: it has failed, with errno set. A short one, on a socket that may do so, is told by `half`.
bool fails(const char* call, int socket = -1, bool* half = nullptr) {
  const int error = failureOf(call);
  if (half != nullptr) *half = error == kShort && isStream(socket);
  if (error <= 0) return false;
  errno = error;
  return true;
}

std::size_t halfOf(std::size_t size) { return std::max<std::size_t>(1, size / 2); }

// The first half of a message's bytes, where all lie in one or two parts.
msghdr firstHalf(const msghdr& message, iovec& part) {
  msghdr first = message;
  if (message.msg_iovlen == 0) return first;
  part = message.msg_iov[0];
  part.iov_len = halfOf(part.iov_len);
  first.msg_iov = &part;
  first.msg_iovlen = 1;
  return first;
}

}  // namespace

extern "C" {

int accept(int socket, sockaddr* address, socklen_t* size) {
  static const auto system = systemCall<int (*)(int, sockaddr*, socklen_t*)>("accept");
  return fails("accept") ? -1 : system(socket, address, size);
}

int connect(int socket, const sockaddr* address, socklen_t size) {
  static const auto system = systemCall<int (*)(int, const sockaddr*, socklen_t)>("connect");
  return fails("connect") ? -1 : system(socket, address, size);
}

ssize_t send(int socket, const void* bytes, std::size_t size, int flags) {
  static const auto system = systemCall<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  bool half = false;
  if (fails("send", socket, &half)) return -1;
  return system(socket, bytes, half ? halfOf(size) : size, flags);
}

ssize_t sendmsg(int socket, const msghdr* message, int flags) {
  static const auto system = systemCall<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  bool half = false;
  if (fails("send", socket, &half)) return -1;
  iovec part{};
  const msghdr first = half ? firstHalf(*message, part) : *message;
  return system(socket, &first, flags);
}

ssize_t recv(int socket, void* bytes, std::size_t size, int flags) {
  static const auto system = systemCall<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  bool half = false;
  if (fails("recv", socket, &half)) return -1;
  return system(socket, bytes, half ? halfOf(size) : size, flags);
}

ssize_t recvmsg(int socket, msghdr* message, int flags) {
  static const auto system = systemCall<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  bool half = false;
  if (fails("recv", socket, &half)) return -1;
  if (!half || message->msg_iovlen == 0) return system(socket, message, flags);
  iovec part{};
  msghdr first = firstHalf(*message, part);
  const ssize_t got = system(socket, &first, flags);
  message->msg_flags = first.msg_flags;
  message->msg_controllen = first.msg_controllen;
  return got;
}

}  // extern "C"
