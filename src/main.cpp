// quinceline: one client proxy. Reads its configuration, builds the parts, waits for signals.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "net/config.h"
#include "net/log.h"
#include "net/proxy.h"
#ifdef QUINCELINE_OPERATOR
#include "cli/commands.h"
#include "status/status_server.h"
#endif

namespace {

using namespace quinceline;

// What is bounded by the system counts as much as what is configured.
void fitToSystem(Config& config) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0) return;
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY) {
    config.sockets = std::min<std::size_t>(config.sockets, files.rlim_cur);
  }
}

// A configuration that can't be read leaves the one before in force: a mistake in a file must not end
// service.
void awaitReload(boost::asio::signal_set& signals, Proxy& proxy, Log& log) {
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    try {
      proxy.reload(rereadConfig([](const char* name) { return std::getenv(name); }));
    } catch (const std::exception& e) {
      log.line(std::string("configuration not taken: ") + e.what());
    }
    awaitReload(signals, proxy, log);
  });
}

void serve(Config config) {
  fitToSystem(config);
#ifdef QUINCELINE_OPERATOR
  const std::optional<Endpoint> status_at = config.own.status;
#endif
  // Large bodies come and go: they are to leave no holes behind in the heap.
  mallopt(M_MMAP_THRESHOLD, 256 * 1024);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
  std::signal(SIGPIPE, SIG_IGN);
  const Clock clock;
  Log log(clock, config.name);
  boost::asio::io_context io(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
  Proxy proxy(io, std::move(config), log, clock);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) proxy.shutdown([&io] { io.stop(); });
  });
  boost::asio::signal_set reload(io, SIGHUP);
  awaitReload(reload, proxy, log);
#ifdef QUINCELINE_OPERATOR
  StatusServer status(io);
  status.page("/admission", [&] { return proxy.admissionReport(); });
  if (status_at) status.listen(*status_at);
#endif
  proxy.start();
  io.run();
}

}  // namespace

int main(int argc, char** argv) {
#ifdef QUINCELINE_OPERATOR
  if (argc > 1) return runCommand(argc, argv);
#else
  if (argc > 1) {
    std::fprintf(stderr, "%s: this program was built without commands (WELDFLOW_OPERATOR)\n", argv[0]);
    return 2;
  }
#endif
  Config config;
  try {
    config = readConfig([](const char* name) { return std::getenv(name); });
  } catch (const std::exception& e) {
    std::fprintf(stderr, "quinceline: %s\n", e.what());
    return 1;
  }
  try {
    serve(std::move(config));
  } catch (const std::exception& e) {
    std::fprintf(stderr, "quinceline: %s\n", e.what());
    return 1;
  }
  return 0;
}
