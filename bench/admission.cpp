// What admission costs: one verdict at 100 to 10,000 connections, the sweep for what is overdue, a place for
// a request, and the memory of a connection that says nothing.
//
//     build/bench/bench_admission
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <random>
#include <vector>

#include "admission/connections.h"
#include "admission/requests.h"
#include "net/event_loop.h"
#include "net/server.h"

namespace {

using namespace client_proxy;
using namespace client_proxy::admission;

PeerAddress peer(std::uint32_t n) {
  PeerAddress a{};
  for (int i = 0; i < 4; ++i) a[15 - i] = static_cast<std::uint8_t>(n >> (8 * i));
  return a;
}

// `count` connections, a third of them silent and the others at rest, from `peers` addresses.
struct Crowd {
  Crowd(std::size_t count, std::uint32_t addresses)
      : gate({.most = count,
              .overflow = 16,
              .kept = 1'000'000,
              .silent = 1'000'000'000,
              .idle = 1'000'000'000}) {
    for (std::size_t i = 0; i < count; ++i) {
      ids.push_back(gate.onAccepted(now += 10, peer(random() % addresses)));
      if (i % 3 != 0) ask(ids.back());
    }
    now += 1'000'000;
  }
  void ask(ConnectionId id) {
    gate.onFirstByte(now, id);
    gate.onRequest(id);
    benchmark::DoNotOptimize(gate.onAnswer(now, id, false));
    gate.onIdle(now, id);
  }
  std::minstd_rand engine{7};
  std::uint32_t random() { return static_cast<std::uint32_t>(engine()); }
  Time now = 1'000'000'000;
  ConnectionGate gate;
  std::vector<ConnectionId> ids;
};

// One request on a kept connection: four events, with the verdict whether to keep it.
void BM_Request(benchmark::State& state) {
  Crowd crowd(static_cast<std::size_t>(state.range(0)), 200);
  std::size_t i = 0;
  for (auto _ : state) {
    crowd.now += 10;
    crowd.ask(crowd.ids[i]);
    i = (i + 7919) % crowd.ids.size();
  }
}
BENCHMARK(BM_Request)->Arg(100)->Arg(1000)->Arg(10'000);

// A connection more at the bound: whom to close, its end, and the new one.
void BM_MakeRoomAndAccept(benchmark::State& state) {
  Crowd crowd(static_cast<std::size_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
  for (auto _ : state) {
    crowd.now += 1000;
    if (const auto victim = crowd.gate.evictionCandidate(crowd.now))
      crowd.gate.onClosed(victim->id, victim->reason);
    benchmark::DoNotOptimize(crowd.gate.onAccepted(crowd.now, peer(crowd.random() % 200)));
  }
}
BENCHMARK(BM_MakeRoomAndAccept)
    ->Args({100, 200})
    ->Args({1000, 200})
    ->Args({10'000, 200})
    ->Args({10'000, 10'000});

// The look for what is overdue, every 100 ms, when nothing is.
void BM_Sweep(benchmark::State& state) {
  Crowd crowd(static_cast<std::size_t>(state.range(0)), 200);
  std::vector<ConnectionGate::Overdue> overdue;
  for (auto _ : state) {
    crowd.now += 100'000;
    overdue.clear();
    crowd.gate.overdue(crowd.now, overdue);
    benchmark::DoNotOptimize(overdue.size());
  }
}
BENCHMARK(BM_Sweep)->Arg(100)->Arg(1000)->Arg(10'000);

// A place for a request, `open` of them held, and its release.
void BM_Place(benchmark::State& state) {
  const auto held = static_cast<std::size_t>(state.range(0));
  RequestGate gate({.open = held + 8, .classes = {{.guaranteed = 4}, {}, {}, {}}, .tenants = {{}, {}}});
  std::vector<Refusal> refused;
  RequestKey id = 1;
  const auto ask = [&] {
    return AdmissionRequest{.id = id,
                            .request_class = static_cast<std::int32_t>(id % 4),
                            .tenant = static_cast<std::int32_t>(id % 2),
                            .bytes = 500,
                            .deadline = static_cast<Time>(id) + 1'000'000};
  };
  for (; id <= held; ++id) gate.offer(static_cast<Time>(id), ask(), refused);
  for (auto _ : state) {
    benchmark::DoNotOptimize(gate.offer(static_cast<Time>(id), ask(), refused));
    gate.release(static_cast<Time>(id), id - held);
    ++id;
  }
}
BENCHMARK(BM_Place)->Arg(100)->Arg(1000)->Arg(10'000);

struct Nobody : RequestSink {
  std::optional<Answer> onHead(const RequestHead&, bool) override { return std::nullopt; }
  Time clientWait(const RequestHead&) const override { return 20 * kSecond; }
  void onRequest(ExchangeId, ClientRequest) override {}
  void onUploaded(ExchangeId, Time) override {}
  void onClientGone(ExchangeId) override {}
  void onStreamed(ExchangeId, bool) override {}
};

// Another process with connections that say nothing, so that only the proxy's side counts here.
class SilentClients {
 public:
  explicit SilentClients(std::size_t count) {
    if (pipe(pipe_) != 0) std::abort();
    pid_ = fork();
    if (pid_ != 0) return;
    ::close(pipe_[1]);
    sockaddr_in at{};
    char end = 0;
    if (read(pipe_[0], &at, sizeof at) == sizeof at) {
      for (std::size_t i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) _exit(1);
      }
      if (read(pipe_[0], &end, 1) != 0) _exit(2);  // until the other side closes
    }
    _exit(0);
  }
  ~SilentClients() {
    ::close(pipe_[0]);
    ::close(pipe_[1]);
    waitpid(pid_, nullptr, 0);
  }
  SilentClients(const SilentClients&) = delete;
  SilentClients& operator=(const SilentClients&) = delete;
  void connectTo(const boost::asio::ip::tcp::endpoint& at) {
    if (write(pipe_[1], at.data(), sizeof(sockaddr_in)) != sizeof(sockaddr_in)) std::abort();
  }

 private:
  int pipe_[2] = {-1, -1};
  pid_t pid_ = -1;
};

// Heap bytes that the proxy holds for each connection that has said nothing.
void BM_SilentConnectionMemory(benchmark::State& state) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  const auto count = std::min<std::size_t>(static_cast<std::size_t>(state.range(0)), files.rlim_cur - 100);
  for (auto _ : state) {
    SilentClients clients(count);
    const Clock clock;
    Log log(clock, "bench");
    EventLoop io;
    Timers timers(io, clock);
    Descriptors descriptors(clock, 4 * count);
    Nobody nobody;
    Server::Limits limits;
    limits.connections.most = count;
    limits.connections.silent = 60 * kSecond;
    Server server(io, timers, descriptors, log, nobody, limits);
    server.listen({boost::asio::ip::make_address("127.0.0.1"), 0});
    io.poll();
    const auto before = mallinfo2().uordblks;
    clients.connectTo(server.localEndpoint());
    while (server.connections() < count) io.restart(), io.run_one_for(std::chrono::milliseconds(10));
    state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(count);
    state.counters["connections"] = static_cast<double>(count);
  }
}
BENCHMARK(BM_SilentConnectionMemory)->Arg(8000)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
