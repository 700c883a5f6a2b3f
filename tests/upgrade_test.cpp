// The program itself beside itself: clients keep asking while one process takes another's place.
#include <array>
#include <cstdio>
#include <filesystem>
#include <set>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class Upgrade : public ::testing::Test {
 protected:
  Upgrade() : listener(loop.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    listener.listen(1024);
    char name[] = "/tmp/client-proxy-upgrade-XXXXXX";
    folder = mkdtemp(name);
    file.doc["listen"] = textOf(listener.local_endpoint());
    file.doc["settings"]["rules"]["drain_grace_us"] = 2'000'000;
    for (json& c : file.doc["settings"]["request_classes"]) c["goal_time_us"] = c["deadline_us"] = 3'000'000;
    file.write(file.doc.dump());
  }
  ~Upgrade() override {
    running.clear();
    std::filesystem::remove_all(folder);
  }
  struct Running {
    std::unique_ptr<Program> program;
    tcp::endpoint console;
  };
  // Starts one more and waits until it says that it can serve.
  Running& startOne(const std::vector<std::string>& more_environment = {}) {
    Running next;
    next.console = freePort(loop);
    std::vector<std::string> environment = {"PROXY_CONFIG=" + file.path, "TMPDIR=" + folder,
                                            "PROXY_INHERITED_FD=3", "PROXY_CONSOLE=" + textOf(next.console),
                                            "PROXY_DISCOVERY=" + file.doc["discovery"].get<std::string>()};
    environment.insert(environment.end(), more_environment.begin(), more_environment.end());
    next.program = std::make_unique<Program>(std::vector<std::string>{}, environment, folder + "/log",
                                             listener.native_handle());
    running.push_back(std::move(next));
    EXPECT_TRUE(loop.until([&] {
      serveHosts();
      return call(running.back().console, "GET /healthcheck").find("HTTP/1.1 200") == 0;
    }));
    return running.back();
  }
  // Empty: nobody listens there yet.
  std::string call(const tcp::endpoint& at, const std::string& what) {
    tcp::socket socket(loop.io);
    error_code ec;
    socket.connect(at, ec);
    if (ec) return {};
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->listen();
    peer->say(what + " HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(loop.until([&] {
      serveHosts();
      return peer->ended;
    }));
    return peer->got;
  }
  // Every host answers whatever it has been asked.
  void serveHosts() {
    for (Host* h : {&host, &other}) {
      for (const auto& peer : h->peers) {
        std::size_t& from = read[peer.get()];
        for (std::size_t end = 0; (end = peer->got.find("\r\n\r\n", from)) != std::string::npos;
             from = end + 4) {
          const std::size_t id = peer->got.find("X-Correlation-Id: ", from);
          if (id < end) ++seen[peer->got.substr(id + 18, peer->got.find("\r\n", id) - id - 18)];
          peer->say(answerOf("yes"));
        }
      }
    }
  }
  static std::string charge(const std::string& id) {
    return "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  static int answers(const Peer& peer, const std::string& status) {
    int n = 0;
    const std::string line = "HTTP/1.1 " + status;
    for (std::size_t at = peer.got.find(line); at != std::string::npos; at = peer.got.find(line, at + 1)) ++n;
    return n;
  }
  bool ended(Running& r) {
    return loop.until([&] {
      serveHosts();
      return r.program->status() == 0;
    });
  }

  // Fifty requests around each; `step` asks until so many have been asked, and counts them in `asked`.
  void upgradeTwentyTimes(const int& asked, const std::function<void(int most)>& step) {
    for (int n = 0; n < 20; ++n) {
      ASSERT_TRUE(loop.until([&] { return step(50 * n + 25), asked >= 50 * n + 25; }));
      startOne();
      running.front().program->signal(SIGTERM);
      bool left = false;
      ASSERT_TRUE(loop.until([&] {
        step(50 * (n + 1));
        left = left || running.front().program->status() == 0;
        return left && asked >= 50 * (n + 1);
      }));
      running.pop_front();
    }
  }

  Loop loop;
  Host host{loop}, other{loop}, discovery{loop};
  tcp::acceptor listener;
  ConfigFile file{{entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}, discovery.endpoint()};
  std::string folder;
  std::deque<Running> running;
  std::map<const Peer*, std::size_t> read;  // how far, of what each host's connection got
  std::map<std::string, int> seen;          // by hosts: the ids and how often
};

TEST_F(Upgrade, OfAThousandChargesOverTwentyUpgradesNoneIsLostCutOrDoubled) {
  startOne();
  struct Client {
    std::shared_ptr<Peer> peer;
    int asked = 0;
  };
  std::vector<Client> clients(8);
  for (Client& c : clients) c.peer = Peer::connect(loop, listener.local_endpoint());
  int asked = 0;
  const auto step = [&](int most) {
    serveHosts();
    for (Client& c : clients) {
      if (asked < most && answers(*c.peer, "200") == c.asked) {
        ++c.asked;
        c.peer->say(charge("id-" + std::to_string(asked++)));
      }
    }
  };
  const auto allAnswered = [&] {
    for (const Client& c : clients) {
      if (answers(*c.peer, "200") != c.asked) return false;
    }
    return true;
  };
  ASSERT_NO_FATAL_FAILURE(upgradeTwentyTimes(asked, step));
  ASSERT_TRUE(loop.until([&] { return serveHosts(), allAnswered(); }));
  EXPECT_EQ(asked, 1000);
  for (const Client& c : clients) EXPECT_FALSE(c.peer->ended) << "a client lost its connection";
  EXPECT_EQ(seen.size(), 1000U);
  for (const auto& [id, times] : seen) EXPECT_EQ(times, 1) << id;
}

// A third of the charges is sent once more on a connection of its own, at once or later, while processes
// change: whichever process gets it must know that it was tried.
TEST_F(Upgrade, OfAThousandChargesWithRepeatsOverTwentyUpgradesNoneRunsTwice) {
  startOne();
  std::vector<std::shared_ptr<Peer>> clients(8), repeaters;
  std::vector<int> asked_by(clients.size());
  for (auto& c : clients) c = Peer::connect(loop, listener.local_endpoint());
  int asked = 0;
  // Which of the two comes first is the system's choice: one runs, the other is a conflict.
  const auto answered = [](const Peer& p) { return answers(p, "200") + answers(p, "409"); };
  const auto repeat = [&](int id) {
    repeaters.push_back(Peer::connect(loop, listener.local_endpoint()));
    repeaters.back()->say(charge("id-" + std::to_string(id)));
  };
  const auto step = [&](int most) {
    serveHosts();
    for (std::size_t c = 0; c < clients.size(); ++c) {
      if (asked >= most || answered(*clients[c]) != asked_by[c]) continue;
      ++asked_by[c];
      clients[c]->say(charge("id-" + std::to_string(asked)));
      if (asked % 6 == 0 && asked >= 8) repeat(asked - 8);  // likely answered by now
      if (asked % 6 == 3) loop.turn(), repeat(asked);       // likely open
      ++asked;
    }
  };
  ASSERT_NO_FATAL_FAILURE(upgradeTwentyTimes(asked, step));
  ASSERT_TRUE(loop.until([&] {
    serveHosts();
    for (const auto& r : repeaters) {
      if (!r->heard("\r\n\r\n")) return false;
    }
    for (std::size_t c = 0; c < clients.size(); ++c) {
      if (answered(*clients[c]) != asked_by[c]) return false;
    }
    return true;
  })) <<
      [&] {
        std::string lost;
        for (const auto& r : repeaters) {
          if (!r->heard("\r\n\r\n")) lost += "repeat: " + r->got + (r->ended ? " ended\n" : "\n");
        }
        for (std::size_t c = 0; c < clients.size(); ++c) {
          if (answered(*clients[c]) != asked_by[c])
            lost += "client " + std::to_string(c) + (clients[c]->ended ? " ended: " : ": ") +
                    clients[c]->got.substr(clients[c]->got.size() -
                                           std::min<std::size_t>(clients[c]->got.size(), 150));
        }
        std::ifstream log(folder + "/log");
        return lost + std::string(std::istreambuf_iterator<char>(log), {});
      }();
  EXPECT_GT(repeaters.size(), 300U);
  EXPECT_EQ(seen.size(), 1000U) << "each ran";
  for (const auto& [id, times] : seen) EXPECT_EQ(times, 1) << id;
}

// Incident 4e2499: times of one process's wall clock were compared with another's.
TEST_F(Upgrade, WhatRanBeforeAWallClockWasSteppedDoesNotRunAgainAfterIt) {
  for (const char* const step : {"-3600", "3600"}) {
    startOne();
    const std::string id = std::string("charge") + step;
    const auto ask = [&] {
      const auto client = Peer::connect(loop, listener.local_endpoint());
      client->say(charge(id));
      EXPECT_TRUE(loop.until([&] {
        serveHosts();
        return client->got.find("HTTP/1.1 ") == 0;
      }));
      return client->got.substr(0, 12);
    };
    EXPECT_EQ(ask(), "HTTP/1.1 200");
    startOne({"LD_PRELOAD=" STEPPED_CLOCK, std::string("CLOCK_STEP_SECONDS=") + step});
    running.front().program->signal(SIGTERM);
    ASSERT_TRUE(ended(running.front()));
    EXPECT_NE(ask(), "HTTP/1.1 200") << step;
    EXPECT_EQ(seen[id], 1) << step;
    running.clear();
  }
}

// Guards against a charge that runs twice: it began in the old process after that had told the new one what
// it knew, its client left, and the new process was asked for it once more.
TEST_F(Upgrade, WhatBeginsInTheOldOneAfterItDoesNotRunInTheNewOneAsWell) {
  startOne();
  const auto c = Peer::connect(loop, listener.local_endpoint());
  c->say(charge("before") + charge("after"));
  const auto holderOf = [&](const std::string& id) -> std::shared_ptr<Peer> {
    for (Host* h : {&host, &other}) {
      for (const auto& p : h->peers) {
        if (p->heard("Id: " + id)) return p;
      }
    }
    return nullptr;
  };
  const auto hold = [&](const std::string& id) {
    EXPECT_TRUE(loop.until([&] { return holderOf(id) != nullptr; }));
    const auto holder = holderOf(id);
    read[holder.get()] = holder->got.size();  // serveHosts() does not answer it
    return holder;
  };
  const auto before = hold("before");
  startOne();
  before->say(answerOf("yes"));
  hold("after");
  const auto again = Peer::connect(loop, listener.local_endpoint());
  again->say(charge("after"));
  ASSERT_TRUE(loop.until([&] { return serveHosts(), again->heard("HTTP/1.1 "); }));
  EXPECT_TRUE(again->heard("HTTP/1.1 409")) << again->got;
  EXPECT_EQ(seen.count("after"), 0U);
}

TEST_F(Upgrade, ABanHoldsOverItAndMayBeCalledAtEitherAddress) {
  const tcp::endpoint old = startOne().console;
  EXPECT_EQ(call(old, "POST /hosts/s-1/maint").find("HTTP/1.1 200"), 0U);
  // In flight, so that the old one stays.
  const auto held = Peer::connect(loop, listener.local_endpoint());
  held->say(charge("held"));
  ASSERT_TRUE(loop.until([&] { return !other.peers.empty() && other.peers[0]->heard("held"); }));
  read[other.peers[0].get()] = other.peers[0]->got.size();  // never answered
  const tcp::endpoint next = startOne().console;
  EXPECT_NE(call(next, "GET /stats").find("app_targets_disabled 1"), std::string::npos);
  EXPECT_EQ(call(next, "POST /hosts/s-2/maint").find("HTTP/1.1 200"), 0U);
  EXPECT_NE(call(old, "GET /stats").find("app_targets_disabled 2"), std::string::npos);
  EXPECT_EQ(call(old, "POST /hosts/s-1/ready").find("HTTP/1.1 200"), 0U);
  ASSERT_TRUE(loop.until(
      [&] { return call(next, "GET /stats").find("app_targets_disabled 1") != std::string::npos; }));
  const auto c = Peer::connect(loop, listener.local_endpoint());
  c->say(charge("a"));
  ASSERT_TRUE(loop.until([&] { return serveHosts(), c->heard("200"); }));
  EXPECT_EQ(other.peers.size(), 1U);
  EXPECT_FALSE(held->ended);
}

TEST_F(Upgrade, ADrainHoldsOverItAndEndsInTheNewOne) {
  EXPECT_EQ(call(startOne().console, "POST /healthcheck/fail").find("HTTP/1.1 200"), 0U);
  const tcp::endpoint next = startOne().console;
  const std::string healthz = "GET /healthz";
  ASSERT_TRUE(loop.until([&] { return call(listener.local_endpoint(), healthz).find("HTTP/1.1 503") == 0; }));
  EXPECT_EQ(call(next, "POST /healthcheck/ok").find("HTTP/1.1 200"), 0U);
  const auto front = Peer::connect(loop, listener.local_endpoint());
  front->say(healthz + " HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return front->heard("HTTP/1.1 200"); }));
}

TEST_F(Upgrade, WhatIsInFlightAtSigtermEndsInTheOldOne) {
  startOne();
  const auto c = Peer::connect(loop, listener.local_endpoint());
  c->say(charge("slow"));
  const auto holder = [&]() -> std::shared_ptr<Peer> {
    for (Host* h : {&host, &other}) {
      for (const auto& p : h->peers) {
        if (p->heard("slow")) return p;
      }
    }
    return nullptr;
  };
  ASSERT_TRUE(loop.until([&] { return holder() != nullptr; }));
  const auto asked = holder();
  read[asked.get()] = asked->got.size();  // not answered yet
  startOne();
  running.front().program->signal(SIGTERM);
  asked->say(answerOf("at last"));
  ASSERT_TRUE(loop.until([&] { return c->heard("at last"); }));
  ASSERT_TRUE(ended(running.front()));
  EXPECT_FALSE(c->ended);
  c->say(charge("next"));
  ASSERT_TRUE(loop.until([&] { return serveHosts(), answers(*c, "200") == 2; }));
}

TEST_F(Upgrade, IfTheNewOneIsKilledTheOldOneServesOn) {
  startOne();
  startOne();
  running.back().program.reset();  // SIGKILL
  running.pop_back();
  for (int n = 0; n < 5; ++n) {
    const auto c = Peer::connect(loop, listener.local_endpoint());
    c->say(charge("k" + std::to_string(n)));
    ASSERT_TRUE(loop.until([&] { return serveHosts(), c->heard("200"); }));
  }
  startOne();  // and the next one takes over as if nothing had been
  running.front().program->signal(SIGTERM);
  ASSERT_TRUE(ended(running.front()));
}

TEST_F(Upgrade, IfTheOldOneWasKilledTheNewOneStartsFromNothing) {
  startOne();
  running.front().program.reset();
  running.pop_front();
  startOne();
  const auto c = Peer::connect(loop, listener.local_endpoint());
  c->say(charge("a"));
  ASSERT_TRUE(loop.until([&] { return serveHosts(), c->heard("200"); }));
}

#ifdef CLIENT_PROXY_OPERATOR
TEST_F(Upgrade, TheCommandCallsTheConsoleAndItsExitStatusSaysWhatCameOfIt) {
  const std::string console = textOf(startOne().console);
  std::string said;
  const auto run = [&](const std::string& arguments) {
    said.clear();
    const std::string command = std::string(CLIENT_PROXY_PROGRAM) + " ctl " + arguments + " 2>&1";
    FILE* const out = popen(command.c_str(), "r");
    std::array<char, 4096> bytes;
    while (const std::size_t n = std::fread(bytes.data(), 1, bytes.size(), out)) said.append(bytes.data(), n);
    return WEXITSTATUS(pclose(out));
  };
  EXPECT_EQ(run("--console " + console + " healthy"), 0) << said;
  EXPECT_EQ(run("--console " + console + " ban s-1"), 0) << said;
  EXPECT_EQ(run("--console " + console + " stats --json"), 0) << said;
  const json figures = json::parse(said);
  EXPECT_EQ(figures.at("targets_disabled"), 1);
  EXPECT_EQ(figures.at("success").at("swap-charge"), 0);
  EXPECT_EQ(run("--console " + console + " stats"), 0);
  EXPECT_NE(said.find("targets_disabled"), std::string::npos) << said;
  EXPECT_EQ(run("--console " + console + " ready s-1"), 0) << said;
  EXPECT_EQ(run("--console " + console + " ban 's 9/x'"), 1);
  EXPECT_NE(said.find("no host has this id: s 9/x"), std::string::npos) << said;
  EXPECT_EQ(run("--console " + console + " drain"), 0);
  EXPECT_EQ(run("--console " + console + " undrain"), 0);
  EXPECT_EQ(run("--console " + textOf(freePort(loop)) + " healthy"), 2);
  EXPECT_NE(said.find("nobody answers at"), std::string::npos) << said;
  EXPECT_EQ(run("--console nowhere healthy"), 2);
  EXPECT_EQ(run("healthy"), 2);
  EXPECT_EQ(run("--console " + console + " explode"), 2);
}
#endif

TEST_F(Upgrade, ADescriptorThatIsNoListenerIsNamed) {
  const std::string log = folder + "/log";
  Program program({},
                  {"PROXY_CONFIG=" + file.path, "PROXY_INHERITED_FD=three",
                   "PROXY_DISCOVERY=" + file.doc["discovery"].get<std::string>()},
                  log);
  int status = -1;
  ASSERT_TRUE(loop.until([&] { return (status = program.status()) != -1; }));
  EXPECT_EQ(status, 1);
  std::ifstream in(log);
  const std::string text(std::istreambuf_iterator<char>(in), {});
  EXPECT_NE(text.find("PROXY_INHERITED_FD: is not the number of a descriptor: three"), std::string::npos)
      << text;
}

}  // namespace
}  // namespace client_proxy::test
