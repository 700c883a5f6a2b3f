// The operator file in the proxy: every key acts, beside the platform's configuration and alone.
#include <algorithm>

#include "conf/schema.h"
#include "operator_support.h"

namespace client_proxy::test {
namespace {

class OperatorFile : public ::testing::Test {
 protected:
  OperatorFile() : config(json::array(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 9)) {}
  Config read(const std::string& text) {
    DiskSource disk;
    return OperatorSource(disk, files.write("op.conf", text), config.environment()).read();
  }
  std::string complaint(const std::string& text) {
    try {
      read(text);
    } catch (const std::runtime_error& e) {
      const std::string what = e.what();
      return what.substr(std::min(what.find("op.conf:"), what.size()));
    }
    return "none";
  }
  Files files;
  ConfigFile config;
};

TEST_F(OperatorFile, BesideThePlatformItAddsToWhatThatSays) {
  const Config c = read(
      "status {\n listen 127.0.0.1:9901\n}\n"
      "admission {\n connections 4000\n connections-per-address 200\n idle-kept 16\n open 400\n waiting 100\n"
      " retries-least 10\n retries-part 50%\n}\n"
      "class swap-charge {\n guaranteed 20\n}\n"
      "tenant acme {\n most 300\n weight 4.5\n}\n"
      "log {\n level warning\n}\n");
  EXPECT_FALSE(c.alone);
  EXPECT_EQ(c.name, "n0") << "the platform's";
  EXPECT_EQ(c.own.status->port(), 9901);
  EXPECT_EQ(c.own.connections, 4000U);
  EXPECT_EQ(c.own.connections_per_address, 200U);
  EXPECT_EQ(c.own.idle_kept, 16U);
  EXPECT_EQ(c.own.open, 400U);
  EXPECT_EQ(c.own.waiting, 100U);
  EXPECT_EQ(c.own.retries_least, 10U);
  EXPECT_EQ(c.own.retries_part, 0.5);
  EXPECT_EQ(c.own.classes.at(1).guaranteed, 20U);
  EXPECT_EQ(c.own.classes.at(0).guaranteed, 0U);
  EXPECT_EQ(c.own.tenants.at(0).most, 300U);
  EXPECT_EQ(c.own.tenants.at(0).weight, 4.5);
  EXPECT_EQ(c.own.log_level, LogLevel::Warning);
}

TEST_F(OperatorFile, WhatIsWrongIsOneLineWithItsPlace) {
  EXPECT_EQ(complaint("admission {\n  opne 4\n}\n"),
            "op.conf:2:3: error: 'opne' is not known here; did you mean open?");
  EXPECT_EQ(complaint("class swap-chrage {\n  most 2\n}\n"),
            "op.conf:1:1: error: the platform has no class 'swap-chrage'; did you mean swap-charge?");
  EXPECT_EQ(complaint("tenant nobody {\n  most 2\n}\n"),
            "op.conf:1:1: error: the platform has no tenant 'nobody'; delete it");
  DiskSource disk;
  EXPECT_THROW(OperatorSource(disk, "/nowhere/at/all.conf", config.environment()).read(),
               ConfigurationRefused);
}

// ---- every key acts ----

template <typename T>
std::string shown(const std::optional<T>& v) {
  return v ? std::to_string(*v) : "-";
}

// All that a proxy goes by.
std::string fingerprint(const Config& c) {
  const OperatorSettings& o = c.own;
  const load_balancer::Settings& s = c.site.settings;
  std::ostringstream all;
  all << c.name << '|' << c.listen << '|' << c.sockets << '|' << c.memory_mb << '|' << c.alone << '|'
      << c.hosts_file << '|' << static_cast<int>(o.log_level) << '|' << (o.status ? textOf(*o.status) : "-");
  for (const auto& v :
       {o.connections, o.connections_per_address, o.idle_kept, o.open, o.waiting, o.retries_least})
    all << '|' << shown(v);
  for (const auto& v : {o.first_byte, o.request, o.idle, o.write, o.linger, o.connect, o.upstream_idle,
                        o.health_check_timeout, o.answer})
    all << '|' << shown(v);
  all << '|' << shown(o.retries_part);
  for (const auto* const shares : {&o.classes, &o.tenants}) {
    for (const auto& share : *shares)
      all << '|' << share.guaranteed << ',' << share.most << ',' << share.weight;
  }
  for (const std::string& name : c.site.classes) all << '|' << name;
  for (const std::string& name : c.site.tenants) all << '|' << name;
  for (const auto& k : s.classes)
    all << '|' << k.latency_objective << ',' << k.deadline << ',' << static_cast<int>(k.idempotency) << ','
        << static_cast<int>(k.deduplication_scope) << ',' << k.deduplication_window << ','
        << k.priority_weight << ',' << k.late_weight << ',' << k.max_attempts;
  for (const auto& t : s.tenants) all << '|' << t.quota;
  all << '|' << s.client << ',' << s.zone << ',' << s.max_attempts << s.may_cancel << s.may_health_check
      << s.retry_after << s.max_retry_after << ',' << s.drain_grace << ',' << s.slow_start_initial_capacity
      << ',' << s.slow_start_duration << ',' << s.slow_start_overload_factor;
  for (std::size_t i = 0; i < c.known.hosts.size(); ++i) {
    const auto& h = c.known.hosts[i];
    all << '|' << h.id << ',' << h.zone << ',' << h.cell << ',' << h.capacity << ',' << c.known.endpoints[i];
  }
  if (c.fleet) {
    const FleetSettings& f = *c.fleet;
    all << '|' << f.name << ',' << f.number << ',' << f.listen << ',' << f.zone << ',' << f.region << ','
        << f.members_file;
    for (const FleetPeer& p : f.members)
      all << '|' << p.number << ',' << p.at << ',' << p.zone << ',' << p.region;
  }
  if (c.services) {
    all << '|' << c.services->lease << ',' << c.services->memory;
    for (const ServiceSetting& v : c.services->services) {
      all << '|' << v.name << ',' << v.home << ',' << v.stand_by;
      for (const ServiceRoute& r : v.routes)
        all << ',' << r.name << ',' << r.path << ',' << r.method << ',' << r.request_class;
    }
  }
  if (c.subscription) {
    all << '|' << c.subscription->file << ',' << c.subscription->region;
    for (const ReplicaSetting& r : c.subscription->replicas)
      all << ',' << r.number << ',' << r.at << ',' << r.region;
  }
  return all.str();
}

// A value that the base below does not have.
std::string other(const conf::Key& key) {
  switch (key.kind) {
    case conf::Kind::Duration:
      return "1.234s";
    case conf::Kind::Size:
      return "77MiB";
    case conf::Kind::Percent:
      return "7%";
    case conf::Kind::Number:
      return "7.5";
    case conf::Kind::Count:
      return std::to_string(static_cast<int>(std::clamp(97.0, key.least, std::min(key.most, 97.0))));
    case conf::Kind::Choice:
      return std::string(key.choices.substr(0, key.choices.find(' ')));
    case conf::Kind::Name:
      return "elsewhere";
    case conf::Kind::Text:
      if (key.name == "file") return "other.conf";
      return key.name == "members-file" ? "members.conf" : "hosts.conf";
    case conf::Kind::Address:
      return "127.0.0.1:7777";
    case conf::Kind::Block:
      break;
  }
  return {};
}

// The schema's rule: a key that nothing acts on is not accepted.
TEST_F(OperatorFile, EveryKeyOfTheSchemaChangesWhatTheProxyGoesBy) {
  files.write("hosts.conf", "host h-1 10.1.0.1:80\n");
  files.write("members.conf", "member 0 127.0.0.1:7100\nmember 97 127.0.0.1:7197\n");
  files.write("shared.conf", "");
  files.write("other.conf", "");
  // One key at a time in a file that has nothing else that is not required.
  const auto text = [&](const std::string& block, const std::string& key, const std::string& value) {
    const auto line = [&](const std::string& in) { return in == block ? key + " " + value + "\n" : ""; };
    const auto unless = [&](const std::string& in, const std::string& name, const std::string& usual) {
      return in == block && name == key ? "" : name + " " + usual + "\n";
    };
    std::string all = line("") + unless("", "listen", "127.0.0.1:0");
    all += "class a {\n" + line("class") + unless("class", "effect", "keyed") + unless("class", "aim", "1s") +
           unless("class", "deadline", "2s") + unless("class", "window", "1s") + "}\n";
    all += "tenant t {\n" + line("tenant") + "}\n";
    all += "pool p {\n" + line("pool");
    if (key != "hosts-file") all += "host s-1 10.0.0.1:80 {\n" + line("host") + "}\n";
    all += "}\n";
    all += "fleet {\n" + line("fleet") + unless("fleet", "listen", "127.0.0.1:7000");
    if (key != "members-file")
      all += "member 0 127.0.0.1:7000 {\n" + line("member") + unless("member", "zone", "z0") +
             "}\nmember 97 127.0.0.1:7097 {\n  zone z1\n}\n";
    all += "}\n";
    all += "service v {\n" + line("service") + unless("service", "home", "z0") + "route r {\n" +
           line("route") + unless("route", "class", "a") + "}\n}\n";
    all += "memory {\n" + line("memory") + unless("memory", "folder", "m") + "}\n";
    all += "configuration {\n" + line("configuration") + unless("configuration", "file", "shared.conf") +
           "replica 1 127.0.0.1:7950 {\n" + line("replica") + "}\n}\n";
    for (const char* const in : {"clients", "upstream", "admission", "limits", "status", "log"})
      all += std::string(in) + " {\n" + line(in) + "}\n";
    return all;
  };
  const auto read_alone = [&](const std::string& t) {
    DiskSource disk;
    return fingerprint(OperatorSource(disk, files.write("op.conf", t), nothing).read());
  };
  const std::string base = read_alone(text("none", "", ""));
  int keys = 0;
  const std::function<void(const conf::Block&, const std::string&)> each = [&](const conf::Block& block,
                                                                               const std::string& name) {
    for (const conf::Key& key : block.keys) {
      if (key.block != nullptr) {
        each(*key.block, std::string(key.name));
        continue;
      }
      ++keys;
      std::string value = other(key);
      if (key.name == "effect") value = "safe\n#";  // and the window, which only a keyed class has
      std::string t = text(name, std::string(key.name), value);
      if (key.name == "effect") t.replace(t.find("window 1s"), 9, "");
      try {
        EXPECT_NE(read_alone(t), base) << name << " " << key.name;
      } catch (const std::exception& e) {
        ADD_FAILURE() << name << " " << key.name << ": " << e.what();
      }
    }
  };
  each(conf::kRoot, "");
  EXPECT_GE(keys, 50);
}

// What the reference says holds without a key is what the parts that act on it have.
TEST_F(OperatorFile, TheFallbacksInTheSchemaAreTheConstantsOfTheProgram) {
  const auto fallback = [](std::string_view block, std::string_view key) {
    conf::Section section;
    section.block = conf::kRoot.find(block)->block;
    return static_cast<Time>(section.find(key)->number);
  };
  const admission::ConnectionGate::Limits clients;
  EXPECT_EQ(fallback("clients", "first-byte"), clients.silent);
  EXPECT_EQ(fallback("clients", "request"), clients.request);
  EXPECT_EQ(fallback("clients", "idle"), clients.idle);
  EXPECT_EQ(fallback("clients", "write"), clients.write);
  EXPECT_EQ(fallback("clients", "linger"), clients.linger);
  EXPECT_EQ(fallback("upstream", "probe"), Upstream::Limits{}.health_check_timeout);
  Loop loop;
  Config c = read("");
  Proxy proxy(loop.io, c, loop.log, loop.clock);
  EXPECT_EQ(fallback("admission", "retries-least"),
            static_cast<Time>(proxy.requests().limits().retries_least));
  EXPECT_EQ(fallback("admission", "retries-part"), static_cast<Time>(proxy.requests().limits().retries_part));
}

// ---- alone ----

TEST_F(AloneTest, TheFileIsEnoughToServe) {
  start(alone(poolOf({host.endpoint()})));
  const auto c = ask("a");
  ASSERT_TRUE(loop.until([&] { return !host.peers.empty() && host.peers[0]->heard("\r\n\r\n"); }));
  EXPECT_TRUE(host.peers[0]->heard("GET /slot-status/7 HTTP/1.1\r\n"));
  host.peers[0]->say(answerOf("served"));
  ASSERT_TRUE(loop.until([&] { return c->heard("served"); }));
}

TEST_F(AloneTest, AHostThatRefusesIsLeftForAnother) {
  tcp::endpoint nobody;
  {
    Host gone{loop};
    nobody = gone.endpoint();
  }
  start(alone(poolOf({nobody, host.endpoint()})));
  for (int i = 0; i < 8; ++i) {
    const std::string id = "a" + std::to_string(i);
    const auto c = ask(id);
    const auto holds = awaitHolder(host, id);
    ASSERT_NE(holds, nullptr) << i;
    holds->say(answerOf("served"));
    ASSERT_TRUE(loop.until([&] { return c->heard("served"); })) << i;
  }
}

}  // namespace
}  // namespace client_proxy::test
