// Tests of the program with unusual settings: it serves under any valid settings, and exits with the name of
// the key if they are invalid.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <sstream>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

// Generates random settings; the same on every platform for a seed.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : random_(seed) {}
  std::uint64_t below(std::uint64_t n) { return random_() % n; }
  // Distributed evenly over the orders of magnitude between the two.
  std::uint64_t between(double min, double max) {
    const double exponent = static_cast<std::uint32_t>(below(1U << 30)) / 1073741824.0;
    return static_cast<std::uint64_t>(min * std::pow(max / min, exponent));
  }
  const char* oneOf(std::initializer_list<const char*> values) {
    return values.begin()[below(values.size())];
  }

  json settings(json from) {
    json classes = json::array();
    for (std::uint64_t i = 0, n = between(1, 60); i < n; ++i) {
      json c = {{"name", "k" + std::to_string(i)}, {"effect", oneOf({"retryable", "dedup", "fragile"})}};
      c["goal_time_us"] = between(20'000, 1e8);
      c["deadline_us"] = between(500'000, 1e9);
      c["window_us"] = between(1, 1e9);
      c["group"] = oneOf({"all", "zone", "cell"});
      c["value"] = static_cast<double>(between(1, 1e6)) / 1000;
      c["late_worth"] = below(2) == 1 ? 0.5 : 0.0;
      c["stream"] = false;
      classes.push_back(std::move(c));
    }
    json parties = json::array();
    for (std::uint64_t i = 0, n = below(3) * between(1, 200); i < n; ++i)
      parties.push_back({{"name", "p" + std::to_string(i)}, {"fraction", 0.5}, {"quota_rps", 1}});
    from["request_classes"] = std::move(classes);
    from["parties"] = std::move(parties);
    from["discovery"] = oneOf({"ask", "push"});
    json& limits = from["limits"];
    limits["max_attempts"] = between(1, 1e5);
    limits["max_open"] = between(8, 2e9);
    limits["conn_idle_us"] = between(200'000, 1e12);
    limits["connect_timeout_us"] = between(200'000, 1e9);
    limits["max_retry_after_us"] = between(1, 1e12);
    for (const char* flag : {"may_cancel", "may_probe", "retry_after", "second_copies"})
      limits[flag] = below(2) == 1;
    json& rules = from["rules"];
    rules["drain_grace_us"] = between(1, 1e9);
    rules["cold_us"] = between(1, 1e10);
    rules["fall_us"] = between(1, 1e10);
    rules["ask_within_us"] = between(300'000, 1e9);
    from["unknown_key"] = {{"deep", json::array({1, nullptr})}};
    return from;
  }

 private:
  std::mt19937_64 random_;
};

class GeneratedSettings : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(GeneratedSettings, EveryClassIsAnsweredAndTheProgramExitsCleanly) {
  Loop loop;
  Host host(loop), discovery(loop);
  ConfigFile file(json::array({entry("s-1", host.endpoint())}), discovery.endpoint());
  const tcp::endpoint listen = freePort(loop);
  file.doc["listen"] = textOf(listen);
  file.doc["settings"] = Generator(GetParam()).settings(file.doc["settings"]);
  file.write(file.doc.dump());
  Program program(file);
  ASSERT_TRUE(loop.until([&] { return discovery.peers.size() >= 1; }));
  std::vector<std::shared_ptr<Peer>> clients;
  std::map<Peer*, std::size_t> answered;  // the number of requests, by connection to the host
  const auto serve = [&] {
    for (const auto& p : host.peers) {
      std::size_t received = 0;
      for (std::size_t at = 0; (at = p->got.find("\r\n\r\n", at)) != std::string::npos; ++at) ++received;
      for (; answered[p.get()] < received; ++answered[p.get()]) p->say(answerOf("ok"));
    }
  };
  for (const json& c : file.doc["settings"]["request_classes"]) {
    const std::string name = c["name"], idempotency = c["effect"];
    std::string text = (idempotency == "retryable" ? "GET /" : "POST /") + name +
                       "/7 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-" + name + "\r\n";
    if (idempotency == "dedup") text += "Idempotency-Key: key-" + name + "\r\n";
    if (idempotency != "retryable") text += "Content-Length: 0\r\n";
    clients.push_back(Peer::connect(loop, listen));
    clients.back()->say(text + "\r\n");
  }
  EXPECT_TRUE(loop.until([&] {
    serve();
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->heard("\r\n\r\n"); });
  }));
  for (std::size_t i = 0; i < clients.size(); ++i)
    EXPECT_TRUE(clients[i]->heard("HTTP/1.1 200") || clients[i]->heard("HTTP/1.1 503"))
        << i << clients[i]->got;
  EXPECT_TRUE(program.runs());
  for (const auto& c : clients) c->close();
  program.signal(SIGTERM);
  int status = -1;
  ASSERT_TRUE(loop.until([&] { return (status = program.status()) != -1; }));
  EXPECT_EQ(status, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, GeneratedSettings, ::testing::Range<std::uint64_t>(1, 13));

struct BadKey {
  const char* pointer;  // RFC 6901
  const char* value;    // JSON; null: the key is missing
  const char* message;  // part of the error message that names the key
};
void PrintTo(const BadKey& b, std::ostream* out) { *out << b.pointer; }

class BadSettings : public ::testing::TestWithParam<BadKey> {};

TEST_P(BadSettings, ProgramExitsWithAMessageThatNamesTheKey) {
  Loop loop;
  Host host(loop), discovery(loop);
  ConfigFile file(json::array({entry("s-1", host.endpoint())}), discovery.endpoint());
  file.doc["listen"] = textOf(freePort(loop));
  const json::json_pointer at(GetParam().pointer);
  if (GetParam().value != nullptr) {
    file.doc[at] = json::parse(GetParam().value);
  } else {
    file.doc[at.parent_pointer()].erase(at.back());
  }
  file.write(file.doc.dump());
  const std::string log = file.path + ".log";
  Program program({}, {"PROXY_CONFIG=" + file.path}, log);
  int status = -1;
  ASSERT_TRUE(loop.until([&] { return (status = program.status()) != -1; }));
  EXPECT_EQ(status, 1);
  std::ifstream in(log);
  const std::string log_text{std::istreambuf_iterator<char>(in), {}};
  EXPECT_NE(log_text.find(GetParam().message), std::string::npos) << log_text;
  std::filesystem::remove(log);
}

INSTANTIATE_TEST_SUITE_P(
    Keys, BadSettings,
    ::testing::Values(
        BadKey{"/settings/me", nullptr, "me: is missing"}, BadKey{"/settings/me", "null", "me: is missing"},
        BadKey{"/settings/me", "-1", "me: is out of range"},
        BadKey{"/settings/me", "\"two\"", "me: is not a number"},
        BadKey{"/settings/discovery", "\"guess\"", "discovery: is unknown"},
        BadKey{"/settings/request_classes", "[]", "request_classes"},
        BadKey{"/settings/request_classes", "{}", "request_classes: is not a list"},
        BadKey{"/settings/request_classes/0/goal_time_us", "0", "request_classes[0].goal_time_us"},
        BadKey{"/settings/request_classes/0/deadline_us", nullptr, "request_classes[0].deadline_us"},
        BadKey{"/settings/request_classes/0/effect", "\"maybe\"", "request_classes[0].effect"},
        BadKey{"/settings/request_classes/0/value", "\"much\"", "request_classes[0].value"},
        BadKey{"/settings/limits", "[]", "limits"},
        BadKey{"/settings/limits/max_attempts", "0", "limits.max_attempts"},
        BadKey{"/settings/limits/may_cancel", "\"yes\"", "limits.may_cancel"},
        BadKey{"/settings/rules/cold_from", "0", "rules.cold_from"},
        BadKey{"/settings/rules/cold_from", "1.5", "rules.cold_from"},
        BadKey{"/settings/rules/drain_grace_us", "null", "rules.drain_grace_us"},
        BadKey{"/settings/rules/tip_multiple", "-2", "rules.tip_multiple"},
        BadKey{"/settings/tick_us", "1e300", "tick_us"}, BadKey{"/limits/memory_mb", "1", "limits.memory_mb"},
        BadKey{"/limits/sockets", "[]", "limits.sockets"}, BadKey{"/seed", "\"xyz\"", "seed"}));

}  // namespace
}  // namespace client_proxy::test
