// Shows the proxy at work: starts a stand-in for each host of a configuration and the proxy from that file,
// asks from several clients at once, kills one host, and prints who answered what and what the proxy decided.
// All that it started ends with it.
//
//     client_proxy_demo CLIENT_PROXY_PROGRAM FILE
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <cstring>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "conf/model.h"
#include "files/disk_source.h"
#include "rig/child.h"
#include "station.h"

namespace client_proxy::demo {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

using rig::Child;

constexpr int kClients = 8, kEach = 40;  // requests of one client in one part

tcp::endpoint endpointOf(const conf::Address& a) { return {boost::asio::ip::make_address(a.host), a.port}; }

std::string textOf(const conf::Address& a) {
  const std::string host = a.host.find(':') == std::string::npos ? a.host : "[" + a.host + "]";
  return host + ":" + std::to_string(a.port);
}

// Answers by who gave them, or by status where nobody did.
using Answers = std::map<std::string, int>;

struct Tally {
  std::mutex mutex;
  Answers answers;
  std::map<std::string, std::string> charges;  // by id: the class's name, of unsafe requests
};

http::request<http::empty_body> requestFor(const conf::ClassModel& c, const std::string& id) {
  const bool safe = c.idempotency == conf::Idempotency::Idempotent;
  http::request<http::empty_body> r(safe ? http::verb::get : http::verb::post, "/" + c.name + "/7", 11);
  r.set(http::field::host, "demo");
  r.set("X-Correlation-Id", id);
  if (c.idempotency == conf::Idempotency::IdempotentWithKey) r.set("Idempotency-Key", id);
  if (!safe) r.set(http::field::content_length, "0");
  return r;
}

void runClient(const conf::Model& model, const std::string& name, Tally& tally) {
  boost::asio::io_context io;
  std::unique_ptr<boost::beast::tcp_stream> stream;
  boost::beast::flat_buffer buffer;
  for (int i = 0; i < kEach; ++i) {
    const conf::ClassModel& c = model.classes[static_cast<std::size_t>(i) % model.classes.size()];
    const std::string id = name + "-" + std::to_string(i);
    std::string who = "connection lost";
    try {
      if (stream == nullptr) {
        stream = std::make_unique<boost::beast::tcp_stream>(io);
        stream->connect(endpointOf(model.listen));
        buffer.clear();
      }
      http::write(*stream, requestFor(c, id));
      http::response<http::string_body> answer;
      http::read(*stream, buffer, answer);
      who = answer.result_int() == 200 ? answer.body() : "answered " + std::to_string(answer.result_int());
      if (!answer.keep_alive()) stream.reset();
    } catch (const std::exception&) {
      stream.reset();
    }
    const std::lock_guard lock(tally.mutex);
    ++tally.answers[who];
    if (c.idempotency == conf::Idempotency::NonIdempotent) tally.charges[id] = c.name;
  }
}

// `during`: what happens once the clients are at work.
template <typename During>
Answers part(const conf::Model& model, const std::string& name, Tally& tally, During during) {
  tally.answers.clear();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    std::string client = name;
    client += std::to_string(i);
    clients.emplace_back([&model, client, &tally] { runClient(model, client, tally); });
  }
  during();
  for (std::thread& c : clients) c.join();
  return tally.answers;
}

// A third of the answers have come.
void killMidway(Tally& tally, Child& station) {
  for (;;) {
    {
      const std::lock_guard lock(tally.mutex);
      int answered = 0;
      for (const auto& [who, n] : tally.answers) answered += n;
      if (answered > kClients * kEach / 3) break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  station.kill();
}

void printTable(const std::vector<std::pair<std::string, Answers>>& parts) {
  std::map<std::string, bool> rows;
  for (const auto& [title, answers] : parts) {
    for (const auto& [who, n] : answers) rows[who] = true;
  }
  std::printf("\n%-18s", "answered by");
  for (const auto& [title, answers] : parts) std::printf("%16s", title.c_str());
  std::printf("\n");
  for (const auto& [who, there] : rows) {
    std::printf("%-18s", who.c_str());
    for (const auto& [title, answers] : parts) {
      const auto it = answers.find(who);
      std::printf("%16d", it == answers.end() ? 0 : it->second);
    }
    std::printf("\n");
  }
}

int show(const char* self, const std::string& program, const std::string& file) {
  DiskSource files;
  const conf::Configuration c = conf::readConfiguration(files, file);
  if (!c.ok() || !c.model.pool || c.model.pool->hosts.size() < 2) {
    std::fprintf(stderr, "%s: is no configuration with a pool of two hosts or more\n", file.c_str());
    return 1;
  }
  std::vector<std::unique_ptr<Child>> stations;
  for (const conf::HostModel& h : c.model.pool->hosts) {
    stations.push_back(
        std::make_unique<Child>(std::vector<std::string>{self, "station", h.name, textOf(h.address)}));
    if (!stations.back()->said("ready"))
      throw std::runtime_error(h.name + " can't listen at " + textOf(h.address));
  }
  Child proxy({program, "run", "--operator", file});
  boost::asio::io_context io;
  for (int tries = 0;; ++tries) {
    tcp::socket probe(io);
    boost::system::error_code ec;
    probe.connect(endpointOf(c.model.listen), ec);
    if (!ec) break;
    if (tries == 200)
      throw std::runtime_error("the proxy does not listen: " +
                               (proxy.lines().empty() ? "" : proxy.lines().back()));
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  const std::string killed = c.model.pool->hosts[1].name;
  std::printf("%zu hosts and the proxy run; %d clients ask %d things each, three times\n", stations.size(),
              kClients, kEach);
  Tally tally;
  std::vector<std::pair<std::string, Answers>> parts;
  parts.emplace_back("all hosts up", part(c.model, "a", tally, [] {}));
  parts.emplace_back(killed + " is killed",
                     part(c.model, "b", tally, [&] { killMidway(tally, *stations[1]); }));
  parts.emplace_back("without " + killed, part(c.model, "c", tally, [] {}));
  printTable(parts);

  std::map<std::string, int> ran;
  for (const auto& station : stations) {
    for (const std::string& line : station->lines()) {
      if (line.rfind("ran ", 0) == 0) ++ran[line.substr(4)];
    }
  }
  int twice = 0;
  for (const auto& [id, name] : tally.charges) twice += ran[id] > 1 ? 1 : 0;
  std::printf("\nunsafe requests: %zu, of which ran twice: %d\n\nthe proxy's log:\n", tally.charges.size(),
              twice);
  for (const std::string& line : proxy.lines()) std::printf("  %s\n", line.c_str());
  int asked = 0;
  for (const auto& [title, answers] : parts) {
    for (const auto& [who, n] : answers) asked += who == "connection lost" ? 0 : n;
  }
  const bool whole = asked == 3 * kClients * kEach && twice == 0;
  std::printf("\n%s\n", whole ? "every request got exactly one answer" : "something was lost or doubled");
  return whole ? 0 : 1;
}

}  // namespace
}  // namespace client_proxy::demo

int main(int argc, char** argv) {
  using namespace client_proxy;
  try {
    if (argc == 4 && std::strcmp(argv[1], "station") == 0) {
      const auto at = conf::readAddress(argv[3]);
      if (!at) throw std::runtime_error(std::string(argv[3]) + " is no address and port");
      demo::serveStation(argv[2], demo::endpointOf(*at));
    }
    if (argc == 3) return demo::show(argv[0], argv[1], argv[2]);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "client_proxy_demo: %s\n", e.what());
    return 1;
  }
  std::fprintf(stderr, "client_proxy_demo CLIENT_PROXY_PROGRAM FILE\n");
  return 2;
}
