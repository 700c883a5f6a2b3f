// Stand-ins for the review's cases 6 and up: hosts, discovery and clients on loopback sockets, and the project's
// client proxy as a process of its own. POSIX sockets and threads only. Everything runs on the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standin {

inline double monotonic() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
inline double& origin() {
  static double at = monotonic();
  return at;
}
// Seconds since the case began.
inline double now() { return monotonic() - origin(); }
inline void sleepFor(double seconds) {
  if (seconds > 0) usleep(static_cast<useconds_t>(seconds * 1e6));
}
inline void sleepUntil(double at) { sleepFor(at - now()); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[600];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f  %s\n", now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::standin::Record::get().line(__VA_ARGS__)

[[noreturn]] inline void cannotRun(const std::string& why);

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}
inline int portOf(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}
// A listener on a free port.
inline int listenAnywhere() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in a = loopback(0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || listen(fd, 1024) != 0)
    cannotRun("no listener");
  return fd;
}
inline int freePort() {
  const int fd = listenAnywhere();
  const int port = portOf(fd);
  close(fd);
  return port;
}
// -1: refused.
inline int connectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) cannotRun("no descriptor");
  const sockaddr_in a = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline std::string lower(std::string s) {
  for (char& c : s) c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  return s;
}

struct Message {
  std::string first;                           // the first line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string target() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
};

enum class Got { Whole, End, Reset, Late, Bad };
inline const char* nameOf(Got got) {
  switch (got) {
    case Got::Whole: return "whole";
    case Got::End: return "end of the connection";
    case Got::Reset: return "reset";
    case Got::Late: return "nothing in time";
    case Got::Bad: return "unreadable";
  }
  return "";
}

// One connection with what was read of it and not used.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {}
  ~Wire() { shut(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void shut() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  // Ends with a reset.
  void reset() {
    const linger l{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    shut();
  }
  // All of it is with the kernel, or the connection is over.
  bool send(const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // More bytes by the time `until`.
  Got more(double until) {
    for (;;) {
      const double left = until - now();
      pollfd p{fd_, POLLIN, 0};
      const int ready = left <= 0 ? 0 : poll(&p, 1, static_cast<int>(left * 1e3) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) return Got::Late;
      char bytes[65536];
      const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return Got::Reset;
      if (n == 0) return Got::End;
      in_.append(bytes, static_cast<std::size_t>(n));
      return Got::Whole;
    }
  }
  // The head of a message; its body follows with body().
  Got head(Message& m, double until) {
    std::size_t end = 0;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
      if (const Got got = more(until); got != Got::Whole) return got;
    }
    const std::string text = in_.substr(0, end + 2);
    in_.erase(0, end + 4);
    m = {};
    std::size_t at = text.find("\r\n");
    m.first = text.substr(0, at);
    for (at += 2; at < text.size();) {
      const std::size_t stop = text.find("\r\n", at);
      const std::string line = text.substr(at, stop - at);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return Got::Bad;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      m.headers[lower(line.substr(0, colon))] = line.substr(value);
      at = stop + 2;
    }
    return Got::Whole;
  }
  Got body(Message& m, double until) {
    if (lower(m.header("transfer-encoding")) == "chunked") {
      for (;;) {
        std::size_t end = 0;
        while ((end = in_.find("\r\n")) == std::string::npos) {
          if (const Got got = more(until); got != Got::Whole) return got;
        }
        const std::size_t size = std::strtoul(in_.c_str(), nullptr, 16);
        while (in_.size() < end + 2 + size + 2) {
          if (const Got got = more(until); got != Got::Whole) return got;
        }
        m.body.append(in_, end + 2, size);
        in_.erase(0, end + 2 + size + 2);
        if (size == 0) return Got::Whole;
      }
    }
    const std::size_t length = std::strtoul(m.header("content-length").c_str(), nullptr, 10);
    while (in_.size() < length) {
      if (const Got got = more(until); got != Got::Whole) return got;
    }
    m.body = in_.substr(0, length);
    in_.erase(0, length);
    return Got::Whole;
  }
  Got message(Message& m, double until) {
    const Got got = head(m, until);
    return got == Got::Whole ? body(m, until) : got;
  }
  std::size_t unused() const { return in_.size(); }

 private:
  int fd_;
  std::string in_;
};

// ---- stand-ins ----

inline std::string answerOf(int status, const std::string& body, const std::string& headers = {}) {
  const char* word = status == 200 ? "OK" : status == 404 ? "Not Found" : "Error";
  return "HTTP/1.1 " + std::to_string(status) + " " + word + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Listens and gives each connection a thread.
class Listener {
 public:
  explicit Listener(std::function<void(Wire&)> serve) : serve_(std::move(serve)), fd_(listenAnywhere()) {
    port_ = portOf(fd_);
    std::thread([fd = fd_, serve = serve_] {
      for (;;) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) continue;
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([client, serve] {
          Wire wire(client);
          serve(wire);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  std::function<void(Wire&)> serve_;
  int fd_ = -1, port_ = 0;
};

// A sound swap server: begins a request when its last byte has come, works on it for `work` seconds, and answers
// 200 with a body made for that request. `instead` may answer in its place.
class Host {
 public:
  enum class Did { Nothing, Answered, Close };  // what `instead` did: the usual answer follows; that was it
  using Instead = std::function<Did(Host&, Wire&, const Message& request)>;
  Host(std::string uid, double work, Instead instead = {})
      : uid_(std::move(uid)), work_(work), instead_(std::move(instead)), listener_([this](Wire& w) { serve(w); }) {}
  const std::string& uid() const { return uid_; }
  int port() const { return listener_.port(); }
  static std::string bodyFor(const std::string& id) { return "served " + id + "\n"; }

 private:
  void serve(Wire& wire) {
    const double never = 1e9;
    for (;;) {
      Message request;
      if (wire.head(request, now() + 10) != Got::Whole) return;  // idle for 10 s, or the other side has ended
      const std::string target = request.target();
      if (target == "/healthz" || target == "/load") {
        if (!wire.send(answerOf(200, ""))) return;
        continue;
      }
      const std::string id = request.header("x-correlation-id");
      if (wire.body(request, never) != Got::Whole) {
        RECORD("host %s: request %s did not come whole", uid_.c_str(), id.c_str());
        return;
      }
      if (id.empty()) {
        if (!wire.send(answerOf(404, ""))) return;
        continue;
      }
      RECORD("host %s: runs %s (%s), told %s s", uid_.c_str(), id.c_str(), target.c_str(),
             request.header("x-time-left").c_str());
      const Did did = instead_ ? instead_(*this, wire, request) : Did::Nothing;
      if (did == Did::Close) return;
      if (did == Did::Answered) continue;
      sleepFor(work_);
      if (!wire.send(answerOf(200, bodyFor(id), "X-Backend-Load: load_share=0.30,mean_ms=20\r\n"))) return;
    }
  }

  std::string uid_;
  double work_;
  Instead instead_;
  Listener listener_;
};

// Discovery that is asked: a watch tells the whole list, then an empty line every 2 s.
class DiscoveryService {
 public:
  DiscoveryService() : listener_([this](Wire& w) { serve(w); }) {}
  void setHosts(const std::vector<Host*>& hosts) {
    std::vector<std::pair<std::string, int>> list;
    for (const Host* h : hosts) list.emplace_back(h->uid(), h->port());
    setList(list);
  }
  void setList(const std::vector<std::pair<std::string, int>>& hosts) {
    std::string entries;
    for (const auto& [uid, port] : hosts) {
      if (!entries.empty()) entries += ',';
      entries += "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + std::to_string(port) +
                 "\",\"az\":\"a\",\"model\":\"std\",\"pod_group\":0,\"state\":\"active\",\"capacity_hint\":1.0,"
                 "\"boot_ms\":0}";
    }
    list_ = "{\"rev\":7,\"all\":true,\"targets\":[" + entries + "]}";
  }
  const std::string& list() const { return list_; }
  int port() const { return listener_.port(); }

 private:
  static std::string chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(Wire& wire) {
    for (;;) {
      Message request;
      if (wire.message(request, now() + 60) != Got::Whole) return;
      if (request.target().find("watch=1") == std::string::npos) {
        if (!wire.send(answerOf(200, list_))) return;
        continue;
      }
      if (!wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list_ + "\n"))) return;
      do {
        sleepFor(2);
      } while (wire.send(chunk("\n")));
      return;
    }
  }

  std::string list_;
  Listener listener_;
};

// ---- the client proxy ----

struct Setup {
  std::string root;    // of the repository
  std::string run;     // the command `run` of the deploy file
  std::string folder;  // temporary
  bool trouble = true;
};

struct ProxySettings {
  int memory_mb = 64;
  int sockets = 1024;
  int deadline_ms = 2500;   // of each class; 3000 for reservation where it is not set lower
  std::string classes = {};  // others than trocasul-main's: entries of request_classes
};

class ClientProxy;
inline ClientProxy*& running() {
  static ClientProxy* proxy = nullptr;
  return proxy;
}

class ClientProxy {
 public:
  ClientProxy(const Setup& setup, const ProxySettings& s, int discovery, const std::string& known) {
    port_ = freePort();
    const std::string config = setup.folder + "/config.json", log = setup.folder + "/proxy.log";
    settings_ = s, known_ = known, config_ = config;
    write(config, s, discovery, known);
    const std::string tmp = setup.folder + "/tmp";
    if (system(("mkdir -p " + tmp).c_str()) != 0) cannotRun("no temporary folder");
    pid_ = fork();
    if (pid_ == 0) {
      setpgid(0, 0);
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      if (chdir(setup.root.c_str()) != 0) _exit(127);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("PROXY_NAME", "n0", 1);
      setenv("PROXY_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      setenv("PROXY_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery)).c_str(), 1);
      setenv("PROXY_CONFIG", config.c_str(), 1);
      setenv("TMPDIR", tmp.c_str(), 1);
      execl("/bin/sh", "sh", "-c", setup.run.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    if (pid_ < 0) cannotRun("no process");
    running() = this;
    for (const double until = now() + 20; now() < until; sleepFor(0.05)) {
      Wire wire(connectTo(port_));
      Message m;
      if (wire.open() && wire.send("GET /healthz HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n") &&
          wire.message(m, now() + 1) == Got::Whole && m.status() == 200) {
        RECORD("the client proxy is ready");
        return;
      }
      if (ended()) break;
    }
    cannotRun("the client proxy did not become ready");
  }
  ~ClientProxy() { kill(); }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void signal(int number) {
    RECORD("signal %d to the client proxy", number);
    ::kill(pid_, number);
  }
  // Replaces the file of the configuration: discovery is elsewhere now.
  void rewrite(int discovery) {
    write(config_ + ".new", settings_, discovery, known_);
    std::rename((config_ + ".new").c_str(), config_.c_str());
  }
  bool ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    RECORD("the client proxy has ended: %s %d", WIFSIGNALED(status) ? "signal" : "exit",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    pid_ = -1;
    return true;
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(-pid_, SIGKILL);
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  void write(const std::string& path, const ProxySettings& s, int discovery, const std::string& known) const {
    std::FILE* const f = std::fopen(path.c_str(), "w");
    if (f == nullptr) cannotRun("no configuration");
    const auto entry = [](const char* name, const char* effect, int aim, int deadline, const char* group, int value,
                          int window) {
      char text[400];
      std::snprintf(text, sizeof text,
                    R"({"name":"%s","effect":"%s","goal_time_us":%d000,"deadline_us":%d000,"group":"%s",)"
                    R"("late_worth":0.0,"stream":false,"value":%d.0,"window_us":%d000})",
                    name, effect, aim, deadline, group, value, window);
      return std::string(text);
    };
    const int reservation = s.deadline_ms < 2500 ? s.deadline_ms : 3000;
    const std::string classes =
        !s.classes.empty() ? s.classes
                           : entry("slot-status", "retryable", 800, s.deadline_ms, "all", 3, 5000) + "," +
                                 entry("swap-charge", "fragile", 1000, s.deadline_ms, "all", 8, 5000) + "," +
                                 entry("reservation", "dedup", 1200, reservation, "zone", 5, 2000);
    std::fprintf(
        f,
        R"({"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,
"settings":{"callers":{"marks_retry":false},"discovery":"ask","domain":{"warm_keys":true},"family":"mesh",
"kinds":["std"],"layers":["swap-api"],"me":0,"my_zone":0,"peers_total":1,"over_share_worth":0.1,
"limits":{"conn_idle_us":10000000,"connect_timeout_us":250000,"max_attempts":6,"max_open":29044,
"max_retry_after_us":1500000,"may_cancel":true,"may_probe":true,"peers":false,"retry_after":true,
"second_copies":true,"streams_per_conn":1},
"parties":[{"fraction":0.84,"name":"rede-pampa","quota_rps":200.0},{"fraction":0.16,"name":"rede-litoral","quota_rps":40.0}],
"report":{"fields":["load_share","mean_ms"],"source":"answers"},
"request_classes":[%s],
"rules":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_from":0.32,"cold_us":8900000,"drain_grace_us":2000000,"fall_us":2000000,"tip_multiple":3.0},
"stage":0,"tick_us":5000,"weight_source":"rough","worth_by":"request","zones":["a"]}}
)",
        port_, discovery, s.memory_mb, s.sockets, known.c_str(), classes.c_str());
    std::fclose(f);
  }

  pid_t pid_ = -1;
  int port_ = 0;
  ProxySettings settings_;
  std::string known_, config_;
};

[[noreturn]] inline void finish(int code) {
  if (running() != nullptr) running()->kill();
  std::fflush(nullptr);
  _exit(code);
}
[[noreturn]] inline void cannotRun(const std::string& why) {
  RECORD("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  finish(2);
}
[[noreturn]] inline void verdict(int broken, int of, const char* what) {
  RECORD("%s: %d of %d", what, broken, of);
  std::printf("%s: %d of %d; the rule %s\n", what, broken, of, broken > 0 ? "was BROKEN" : "held");
  finish(broken > 0 ? 1 : 0);
}

// Arguments: the repository's root, the command `run`, a temporary folder, record.txt.
inline Setup begin(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: case ROOT RUN FOLDER RECORD\n");
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  origin() = monotonic();
  Record::get().open(argv[4]);
  Setup setup{argv[1], argv[2], argv[3], true};
  const char* const trouble = std::getenv("TROUBLE");
  setup.trouble = trouble == nullptr || std::string(trouble) != "0";
  RECORD("begins, %s trouble", setup.trouble ? "with" : "without");
  std::thread([] {  // never longer than this
    sleepFor(110);
    cannotRun("took too long");
  }).detach();
  return setup;
}

inline std::string hexId() {
  static std::atomic<std::uint64_t> next{0x9b1f03aa5c000000ULL};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next += 0x10001));
  return text;
}

// A request as the protocol page has it.
inline std::string requestOf(const std::string& kind, const std::string& id, double time_left,
                             const std::string& body = {}) {
  char left[40];
  std::snprintf(left, sizeof left, "%.3f", time_left);
  const bool safe = kind == "slot-status";
  std::string text = std::string(safe ? "GET" : "POST") + " /" + kind + "/" + id + " HTTP/1.1\r\nHost: api.internal\r\n" +
                     "X-Correlation-Id: " + id + "\r\nX-Account: rede-pampa\r\nX-Time-Left: " + left + "\r\n";
  if (kind == "reservation") text += "Idempotency-Key: 5c0f6e1a2b3d4c59" + id + "\r\n";
  if (!safe) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Many clients on one thread: each has sent something, and waits for whatever comes.
class Crowd {
 public:
  // False: it was not let in.
  bool add(int port, const std::string& bytes) {
    auto wire = std::make_unique<Wire>(connectTo(port));
    if (!wire->open() || !wire->send(bytes)) return false;
    clients_.push_back({std::move(wire), now()});
    return true;
  }
  // Until each has got something or an end, or until that time.
  void waitForEnds(double until) {
    std::size_t left = clients_.size();
    while (left > 0 && now() < until) {
      std::vector<pollfd> polled;
      for (const Client& c : clients_) polled.push_back({c.wire->fd(), POLLIN, 0});
      poll(polled.data(), polled.size(), 20);
      for (std::size_t i = 0; i < clients_.size(); ++i) {
        Client& c = clients_[i];
        if (!c.wire->open() || polled[i].revents == 0) continue;
        Message m;
        const Got got = c.wire->message(m, now() + 0.2);
        RECORD("bad client %zu: %s, status %d, after %.3f s", i, nameOf(got), m.status(), now() - c.sent);
        c.wire->shut();
        --left;
      }
    }
    RECORD("bad clients with neither an answer nor an end: %zu", left);
  }

 private:
  struct Client {
    std::unique_ptr<Wire> wire;
    double sent;
  };
  std::vector<Client> clients_;
};

}  // namespace standin
