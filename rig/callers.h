// The applications beside the proxies: each calls its own at its own rate, and waits for every answer.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "events.h"
#include "plan.h"
#include "random/random.h"

namespace client_proxy::rig {

class Callers {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // `proxies`: where each listens. Calls come by chance (Poisson), from now until stop().
  Callers(const Plan& plan, std::vector<Endpoint> proxies, Record& record);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // To be said right before and after a proxy is killed or frozen: what it holds now may be lost with it, or
  // late.
  void excuse(std::size_t proxy);
  // The application stops and starts with its proxy (PROTOCOL): it calls no more from `after` on, until it
  // goes on.
  void pause(std::size_t proxy, Span after = Span(0));
  void resume(std::size_t proxy);
  // The platform has begun to end it: from `after` on it is called on connections that are open already.
  void keepToOpenConnections(std::size_t proxy, Span after);
  // From now on calls come so many times as often as the plan says.
  void setLoad(double factor);
  // No further calls; returns when each has its answer or has waited its time.
  void stop();

 private:
  struct Call;
  struct Proxy {
    Endpoint at;
    double rate = 0;  // a second
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> idle;
    std::set<std::shared_ptr<Call>> calls;
    bool paused = false, open_only = false;
  };

  void next(std::size_t proxy);
  void call(std::size_t proxy);
  void start(std::size_t proxy, const ClassPlan& c, const std::string& key,
             std::chrono::steady_clock::time_point until);
  void askAgain(const Call& call);
  void send(const std::shared_ptr<Call>& call);
  // `body`: of a served one, the id of the request that it was made for.
  void ended(const std::shared_ptr<Call>& call, int status, const std::string& body = {});
  void broke(const std::shared_ptr<Call>& call);
  const ClassPlan& draw();
  void carryOut(const std::function<void()>& what);
  bool waits() const;

  const Plan plan_;
  Record& record_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  load_balancer::Random random_;
  std::vector<Proxy> proxies_;
  double load_ = 1;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace client_proxy::rig
