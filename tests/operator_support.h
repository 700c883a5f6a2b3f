// Shared by the tests of the operator file: files of their own, a proxy that stands alone.
#pragma once

#include <string>
#include <vector>

#include "files/disk_source.h"
#include "operator/operator_file.h"
#include "proxy_support.h"

namespace client_proxy::test {

namespace fs = std::filesystem;

// Files in a folder of their own, gone with it.
class Files {
 public:
  Files() {
    char name[] = "/tmp/client-proxy-operator-XXXXXX";
    folder_ = mkdtemp(name);
  }
  ~Files() { fs::remove_all(folder_); }
  std::string path(const std::string& name) const { return (folder_ / name).string(); }
  // Replaced as a whole, as an editor or fmt --write does.
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(path(name + ".new"), std::ios::trunc) << text;
    fs::rename(path(name + ".new"), path(name));
    return path(name);
  }

 private:
  fs::path folder_;
};

inline const char* nothing(const char*) { return nullptr; }

inline std::string poolOf(const std::vector<tcp::endpoint>& hosts, const std::string& more = "") {
  std::string text = "pool stations {\n";
  for (std::size_t i = 0; i < hosts.size(); ++i)
    text += "  host s-" + std::to_string(i + 1) + " " + textOf(hosts[i]) + "\n";
  return text + more + "}\n";
}

inline std::string alone(const std::string& pool, const std::string& more = "") {
  return "listen 127.0.0.1:0\n"
         "class slot-status {\n  effect safe\n  aim 800ms\n  deadline 2.5s\n}\n"
         "class swap-charge {\n  effect unsafe\n  aim 1s\n  deadline 2.5s\n}\n"
         "class reservation {\n  effect keyed\n  window 2s\n  aim 1s\n  deadline 3s\n}\n"
         "tenant acme {\n  share 50%\n}\n" +
         pool + more;
}

class AloneTest : public ::testing::Test {
 protected:
  void start(const std::string& text) {
    source = std::make_unique<OperatorSource>(disk, files.write("op.conf", text), nothing);
    proxy = std::make_unique<Proxy>(loop.io, source->read(), loop.log, loop.clock);
    source->taken();
    proxy->start();
  }
  void reload(const std::string& text) {
    files.write("op.conf", text);
    proxy->reload(source->read(proxy->zones()));
    source->taken();
  }
  std::shared_ptr<Peer> say(const std::string& text) {
    const auto c = Peer::connect(loop, proxy->localEndpoint());
    c->say(text);
    return c;
  }
  std::shared_ptr<Peer> ask(const std::string& id) { return say(request(id)); }
  // The host's connection that has this request.
  static std::shared_ptr<Peer> holder(const Host& at, const std::string& id) {
    for (const auto& p : at.peers) {
      if (p->heard("Correlation-Id: " + id + "\r\n")) return p;
    }
    return nullptr;
  }
  std::shared_ptr<Peer> awaitHolder(const Host& at, const std::string& id) {
    loop.until([&] { return holder(at, id) != nullptr; });
    return holder(at, id);
  }
  Loop loop;
  Host host{loop}, other{loop};
  Files files;
  DiskSource disk;
  std::unique_ptr<OperatorSource> source;
  std::unique_ptr<Proxy> proxy;
};

}  // namespace client_proxy::test
