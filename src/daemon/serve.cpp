#include "serve.h"

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
#include <stdexcept>
#include <utility>

#include "net/config.h"
#include "net/log.h"
#include "net/proxy.h"
#ifdef QUINCELINE_OPERATOR
#include "files/disk_source.h"
#include "operator/operator_file.h"
#include "status/status_server.h"
#endif

namespace quinceline {
namespace {

const char* variable(const char* name) { return std::getenv(name); }

// `again`: after it may have been replaced.
Config readAll(const std::string& operator_file, bool again) {
  const char* const named = variable("PROXY_OPERATOR");
  const std::string path = !operator_file.empty() ? operator_file : named != nullptr ? named : "";
  if (path.empty()) return again ? rereadConfig(variable) : readConfig(variable);
#ifdef QUINCELINE_OPERATOR
  DiskSource files;
  return readOperated(files, path, variable, again);
#else
  throw std::runtime_error("PROXY_OPERATOR: this program was built without WELDFLOW_OPERATOR");
#endif
}

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
void awaitReload(boost::asio::signal_set& signals, Proxy& proxy, Log& log, const std::string& operator_file) {
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    try {
      proxy.reload(readAll(operator_file, true));
    } catch (const std::exception& e) {
      log.line(std::string("configuration not taken: ") + e.what(), LogLevel::Error);
    }
    awaitReload(signals, proxy, log, operator_file);
  });
}

void run(Config config, const std::string& operator_file) {
  fitToSystem(config);
  // Large bodies come and go: they are to leave no holes behind in the heap.
  mallopt(M_MMAP_THRESHOLD, 256 * 1024);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
  std::signal(SIGPIPE, SIG_IGN);
  const Clock clock;
  Log log(clock, config.name);
  log.setLevel(config.own.log_level);
  boost::asio::io_context io(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
#ifdef QUINCELINE_OPERATOR
  const std::optional<Endpoint> status_at = config.own.status;
#endif
  Proxy proxy(io, std::move(config), log, clock);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) proxy.shutdown([&io] { io.stop(); });
  });
  boost::asio::signal_set reload(io, SIGHUP);
  awaitReload(reload, proxy, log, operator_file);
#ifdef QUINCELINE_OPERATOR
  StatusServer status(io);
  status.page("/admission", [&] { return proxy.admissionReport(); });
  if (status_at) status.listen(*status_at);
#endif
  proxy.start();
  io.run();
}

}  // namespace

int serve(const std::string& operator_file) {
  try {
    run(readAll(operator_file, false), operator_file);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "quinceline: %s\n", e.what());
    return 1;
  }
  return 0;
}

}  // namespace quinceline
