// What the cases share: the project's program as a process, and small stand-ins for its platform, hosts and
// clients. Blocking sockets and a thread for each peer; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Ms = double;

inline Ms now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleepFor(Ms ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(Ms at) { sleepFor(at - now()); }

// record.txt
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char head[32];
    std::snprintf(head, sizeof head, "%10.1f ms  ", now());
    out_ << head << text << '\n';
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// The case could not run.
[[noreturn]] inline void cannotRun(const std::string& why);

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

inline int listenAnywhere(int& port, int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(0);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, backlog) != 0)
    cannotRun("no socket to listen on");
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  port = ntohs(a.sin_port);
  return fd;
}

inline int freePort() {
  int port = 0;
  ::close(listenAnywhere(port));
  return port;
}

inline int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(port);
  if (fd < 0) return -1;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool sendAll(int fd, const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline void closeWithReset(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

// More has come; false: `until` is over, or the other side has ended (then `ended` says so).
inline bool readMore(int fd, std::string& in, Ms until, bool& ended) {
  for (;;) {
    const Ms left = until - now();
    pollfd p{fd, POLLIN, 0};
    const int ready = ::poll(&p, 1, left > 0 ? static_cast<int>(left) + 1 : 0);
    if (ready < 0 && errno == EINTR) continue;
    if (ready == 0) return false;
    char bytes[16384];
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n > 0) {
      in.append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    ended = true;
    return false;
  }
}

inline std::string header(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon != name.size() || ::strncasecmp(line.c_str(), name.c_str(), colon) != 0) continue;
    const std::size_t from = line.find_first_not_of(' ', colon + 1);
    const std::size_t to = line.find_last_not_of("\r ");
    return from == std::string::npos ? "" : line.substr(from, to - from + 1);
  }
  return "";
}

struct Message {
  std::string first, head, body;
  bool whole = false;      // all of it has come
  bool ended = false;      // the other side ended or reset the connection
  Ms begun = 0, done = 0;  // when its first byte and its last came
  std::string id() const { return header(head, "X-Correlation-Id"); }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

// One message with a length, in chunks or without a body. What comes behind it stays in `in`.
inline Message readMessage(int fd, std::string& in, Ms until) {
  Message m;
  std::size_t end = std::string::npos;
  if (!in.empty()) m.begun = now();
  while ((end = in.find("\r\n\r\n")) == std::string::npos) {
    if (!readMore(fd, in, until, m.ended)) return m;
    if (m.begun == 0) m.begun = now();
  }
  m.head = in.substr(0, end + 2);
  m.first = m.head.substr(0, m.head.find("\r\n"));
  in.erase(0, end + 4);
  if (header(m.head, "Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t eol;
      while ((eol = in.find("\r\n")) == std::string::npos)
        if (!readMore(fd, in, until, m.ended)) return m;
      const std::size_t size = std::strtoul(in.c_str(), nullptr, 16);
      while (in.size() < eol + 2 + size + 2)
        if (!readMore(fd, in, until, m.ended)) return m;
      m.body += in.substr(eol + 2, size);
      in.erase(0, eol + 2 + size + 2);
      if (size == 0) break;
    }
  } else {
    const std::size_t length = std::strtoul(header(m.head, "Content-Length").c_str(), nullptr, 10);
    while (in.size() < length)
      if (!readMore(fd, in, until, m.ended)) return m;
    m.body = in.substr(0, length);
    in.erase(0, length);
  }
  m.whole = true;
  m.done = now();
  return m;
}

inline std::string answerOf(const std::string& body, int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts on its own thread; each connection has a thread. They live as long as the program.
inline void serve(int listener, std::function<void(int)> connection) {
  std::thread([listener, connection] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([connection, fd] { connection(fd); }).detach();
    }
  }).detach();
}

// Discovery that is asked: the whole list on each watch, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(const std::string& targets)
      : list_("{\"rev\":2,\"all\":true,\"targets\":[" + targets + "]}") {
    serve(listenAnywhere(port_), [this](int fd) { watch(fd); });
  }
  int port() const { return port_; }
  bool asked() const { return asked_; }
  const std::string& list() const { return list_; }

 private:
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void watch(int fd) {
    std::string in;
    while (readMessage(fd, in, now() + 60'000).whole) {
      bool on = sendAll(fd,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" +
                            chunk(list_ + "\n"));
      asked_ = true;
      for (bool ended = false; on && !ended;) {
        if (!readMore(fd, in, now() + 2000, ended) && !ended) on = sendAll(fd, chunk("\n"));
      }
      break;
    }
    ::close(fd);
  }
  std::string list_;
  int port_ = 0;
  std::atomic<bool> asked_ = false;
};

inline std::string target(const std::string& uid, int port, const std::string& zone = "a") {
  return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + std::to_string(port) + "\",\"az\":\"" + zone +
         "\",\"model\":\"m1\",\"pod_group\":1,\"state\":\"active\",\"capacity_hint\":1.0,\"boot_ms\":0}";
}

// The project's program, by `run` of the deploy file.
class Proxy {
 public:
  Proxy(const std::string& root, const std::string& run, const Discovery& discovery,
        const std::string& settings)
      : port_(freePort()) {
    const char* base = std::getenv("TMPDIR");
    std::string folder = std::string(base != nullptr && *base != 0 ? base : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) cannotRun("no temporary folder");
    folder_ = folder;
    std::filesystem::create_directory(folder_ + "/tmp");
    const std::string at = "127.0.0.1:" + std::to_string(port_);
    const std::string disc = "127.0.0.1:" + std::to_string(discovery.port());
    std::ofstream(folder_ + "/config.json")
        << "{\"name\":\"n0\",\"listen\":\"" << at << "\",\"discovery\":\"" << disc
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        << "\"known\":" << discovery.list() << ",\"settings\":" << settings << "}";
    pid_ = ::fork();
    if (pid_ < 0) cannotRun("cannot fork");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::chdir(root.c_str()) != 0) ::_exit(127);
      ::setenv("PROXY_NAME", "n0", 1);
      ::setenv("PROXY_LISTEN", at.c_str(), 1);
      ::setenv("PROXY_DISCOVERY", disc.c_str(), 1);
      ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
      const int log = ::open((folder_ + "/log").c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  int port() const { return port_; }
  int pid() const { return pid_; }

  // Ready, and it has its list from discovery.
  void awaitReady(const Discovery& discovery) {
    for (const Ms end = now() + 15'000; now() < end; sleepFor(20)) {
      if (ended()) cannotRun("the program ended at its start: " + log());
      const int fd = connectTo(port_);
      if (fd < 0) continue;
      sendAll(fd, "GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
      std::string in;
      const Message m = readMessage(fd, in, now() + 500);
      ::close(fd);
      if (m.status() == 200 && discovery.asked()) return sleepFor(300);
    }
    cannotRun("the program is not ready: " + log());
  }
  bool ended() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ <= 0;
  }
  std::string log() const {
    std::ifstream in(folder_ + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void stop() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, &status_, 0);
      pid_ = -1;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

 private:
  int port_;
  std::string folder_;
  int pid_ = -1, status_ = 0;
};

inline std::string request(const std::string& method, const std::string& path, const std::string& id,
                           double time_left, const std::string& more = "", const std::string& body = "") {
  char left[32];
  std::snprintf(left, sizeof left, "%.3f", time_left);
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id +
                     "\r\nX-Time-Left: " + left + "\r\n" + more;
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline std::string newId() {
  static std::atomic<unsigned> next{1};
  char text[32];
  std::snprintf(text, sizeof text, "9b1f03aa%08x", next++);
  return text;
}

struct Case {
  std::string root, folder, run;
  bool trouble = true;
  Proxy* proxy = nullptr;
  Record* record = nullptr;
};
inline Case the;

// 0: the rule held, 1: it was broken, 2: the case could not run.
[[noreturn]] inline void finish(int code, const std::string& verdict) {
  if (the.proxy != nullptr) {
    if (the.proxy->ended()) the.record->line("the program has ended by itself");
    the.record->line("log of the program:\n" + the.proxy->log().substr(0, 4000));
    the.proxy->stop();
  }
  if (the.record != nullptr) the.record->line(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  ::_exit(code);
}
[[noreturn]] inline void cannotRun(const std::string& why) { finish(2, "could not run: " + why); }

inline void begin(int argc, char** argv) {
  if (argc != 4) cannotRun("usage: ROOT FOLDER RUN");
  ::signal(SIGPIPE, SIG_IGN);
  the.root = argv[1];
  the.folder = argv[2];
  the.run = argv[3];
  const char* const trouble = std::getenv("TROUBLE");
  the.trouble = trouble == nullptr || std::string(trouble) != "0";
  the.record = new Record(the.folder + "/record.txt");
  now();
  the.record->line(the.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
  std::thread([] {
    sleepFor(100'000);
    cannotRun("it took too long");
  }).detach();
}

}  // namespace review
