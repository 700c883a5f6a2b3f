#include "callers.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdio>
#include <future>
#include <utility>

namespace client_proxy::rig {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Socket = asio::ip::tcp::socket;

// Beyond the deadline: on a busy machine an answer comes late, and late is not lost.
constexpr std::chrono::seconds kPatience{5};
constexpr std::chrono::milliseconds kLook{10};
constexpr std::chrono::milliseconds kAgain{120};

std::string hex(std::uint64_t n) {
  std::string text(17, '\0');
  text.resize(static_cast<std::size_t>(
      std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(n))));
  return text;
}

}  // namespace

struct Callers::Call {
  explicit Call(asio::io_context& io) : limit(io) {}
  std::size_t proxy = 0;
  std::string id;
  http::request<http::empty_body> request;
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Socket> socket;
  asio::steady_timer limit;
  bool reused = false, again = false, excused = false, ended = false;
  const ClassPlan* asked = nullptr;  // of a keyed one, with its key and until when it may be asked again
  std::string key;
  Clock::time_point until;
};

Callers::Callers(const Plan& plan, std::vector<Endpoint> proxies, Record& record)
    : plan_(plan), record_(record), work_(io_.get_executor()), random_(plan.seed + 1) {
  double parts = 0;
  const auto times = [&](std::size_t n) {
    const std::size_t every = plan.callers.busy_every;
    return every > 0 && n % every == 0 ? plan.callers.busy_times : 1.0;
  };
  for (std::size_t n = 0; n < proxies.size(); ++n) parts += times(n);
  const double all = plan.callers.rate * static_cast<double>(proxies.size());
  for (std::size_t n = 0; n < proxies.size(); ++n)
    proxies_.push_back(
        {.at = proxies[n], .rate = all * times(n) / parts, .idle = {}, .calls = {}, .paused = false});
  for (std::size_t n = 0; n < proxies_.size(); ++n) next(n);
  thread_ = std::thread([this] { io_.run(); });
}

Callers::~Callers() {
  io_.stop();
  thread_.join();
}

void Callers::carryOut(const std::function<void()>& what) {
  std::promise<void> done;
  asio::post(io_, [&] {
    what();
    done.set_value();
  });
  done.get_future().wait();
}

void Callers::excuse(std::size_t proxy) {
  carryOut([&] {
    for (const auto& c : proxies_[proxy].calls) c->excused = true;
    proxies_[proxy].idle.clear();
  });
}

void Callers::pause(std::size_t proxy, Span after) {
  if (after.count() == 0) return carryOut([&] { proxies_[proxy].paused = true; });
  carryOut([&] {
    auto timer = std::make_shared<asio::steady_timer>(io_, after);
    timer->async_wait([this, timer, proxy](error_code) { proxies_[proxy].paused = true; });
  });
}

void Callers::resume(std::size_t proxy) {
  carryOut([&] { proxies_[proxy].paused = proxies_[proxy].open_only = false; });
}

void Callers::keepToOpenConnections(std::size_t proxy, Span after) {
  carryOut([&] {
    auto timer = std::make_shared<asio::steady_timer>(io_, after);
    timer->async_wait([this, timer, proxy](error_code) { proxies_[proxy].open_only = true; });
  });
}

void Callers::setLoad(double factor) {
  carryOut([&] { load_ = factor; });
}

bool Callers::waits() const {
  for (const Proxy& p : proxies_) {
    if (!p.calls.empty()) return true;
  }
  return false;
}

void Callers::stop() {
  bool waiting = true;
  while (waiting) {
    carryOut([&] {
      stopped_ = true;
      waiting = waits();
    });
    if (waiting) std::this_thread::sleep_for(kLook);
  }
}

void Callers::next(std::size_t proxy) {
  const std::chrono::duration<double> span(-std::log(1 - random_.unit()) / (proxies_[proxy].rate * load_));
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::duration_cast<Clock::duration>(span));
  timer->async_wait([this, timer, proxy](error_code ec) {
    if (ec || stopped_) return;
    if (!proxies_[proxy].paused) call(proxy);
    next(proxy);
  });
}

const ClassPlan& Callers::draw() {
  double all = 0;
  for (const ClassPlan& c : plan_.classes) all += c.share;
  double drawn = random_.unit() * all;
  for (const ClassPlan& c : plan_.classes) {
    drawn -= c.share;
    if (drawn < 0) return c;
  }
  return plan_.classes.back();
}

void Callers::call(std::size_t proxy) {
  if (proxies_[proxy].open_only && proxies_[proxy].idle.empty()) return;
  start(proxy, draw(), {}, {});
}

// `key`: asked before; empty: a keyed request gets a new one.
void Callers::start(std::size_t proxy, const ClassPlan& c, const std::string& key,
                    std::chrono::steady_clock::time_point until) {
  auto call = std::make_shared<Call>(io_);
  call->proxy = proxy;
  call->id = hex(random_.next());
  const bool safe = c.idempotency == Idempotency::Idempotent;
  const double limit = std::chrono::duration<double>(c.deadline).count();
  call->request = {safe ? http::verb::get : http::verb::post, "/" + c.name + "/7", 11};
  call->request.set(http::field::host, "rig");
  call->request.set("X-Correlation-Id", call->id);
  call->request.set("X-Account", "acme");
  call->request.set("X-Time-Left", std::to_string(limit));
  if (!safe) call->request.set(http::field::content_length, "0");
  if (c.idempotency == Idempotency::IdempotentWithKey) {
    call->asked = &c;
    call->key = key.empty() ? hex(random_.next()) : key;
    call->until = key.empty() ? Clock::now() + c.window - c.deadline : until;
    call->request.set("Idempotency-Key", call->key);
  }
  record_.add({.what = Event::What::Asked,
               .id = call->id,
               .proxy = static_cast<int>(proxy),
               .unsafe = c.idempotency == Idempotency::NonIdempotent,
               .limit = limit,
               .key = call->key});
  proxies_[proxy].calls.insert(call);
  call->limit.expires_after(c.deadline + kPatience);
  call->limit.async_wait([this, call](error_code ec) {
    if (!ec) ended(call, 0);
  });
  auto& idle = proxies_[proxy].idle;
  if (!idle.empty()) {
    call->socket = std::move(idle.back());
    idle.pop_back();
    call->reused = true;
    return send(call);
  }
  call->socket = std::make_shared<Socket>(io_);
  call->socket->async_connect(proxies_[proxy].at, [this, call](error_code ec) {
    if (ec) return broke(call);
    call->socket->set_option(asio::ip::tcp::no_delay(true));
    send(call);
  });
}

void Callers::send(const std::shared_ptr<Call>& call) {
  http::async_write(*call->socket, call->request, [this, call](error_code ec, std::size_t) {
    if (ec) return broke(call);
    http::async_read(*call->socket, call->buffer, call->response,
                     [this, call](error_code failed, std::size_t) {
                       if (failed) return broke(call);
                       if (call->response.keep_alive() && !call->ended)
                         proxies_[call->proxy].idle.push_back(call->socket);
                       ended(call, call->response.result_int(), call->response.body());
                     });
  });
}

// One that was kept may have been closed before the proxy read what came: then once more on a new one
// (PROTOCOL). Not where the proxy has died: it may have passed it on.
void Callers::broke(const std::shared_ptr<Call>& call) {
  if (call->ended) return;
  // What crossed the close of a connection goes elsewhere once the platform takes no new ones here.
  if (call->reused && call->buffer.size() == 0 && proxies_[call->proxy].open_only) call->excused = true;
  if (call->reused && !call->again && !call->excused && call->buffer.size() == 0) {
    call->again = true;
    call->socket = std::make_shared<Socket>(io_);
    call->socket->async_connect(proxies_[call->proxy].at, [this, call](error_code ec) {
      if (ec) return broke(call);
      send(call);
    });
    return;
  }
  ended(call, 0);
}

void Callers::ended(const std::shared_ptr<Call>& call, int status, const std::string& body) {
  if (call->ended) return;
  call->ended = true;
  call->limit.cancel();
  error_code ignored;
  if (status == 0) call->socket->close(ignored);
  record_.add({.what = status == 0 ? Event::What::Lost : Event::What::Answered,
               .id = call->id,
               .proxy = static_cast<int>(call->proxy),
               .status = status,
               .excused = call->excused,
               .answer_to = status == 200 ? body : std::string()});
  proxies_[call->proxy].calls.erase(call);
  if (status != 200 && call->asked != nullptr) askAgain(*call);
}

// The rider presses once more, and the application of another kiosk may be the one that asks.
void Callers::askAgain(const Call& call) {
  auto timer = std::make_shared<asio::steady_timer>(io_, kAgain);
  timer->async_wait([this, timer, asked = call.asked, key = call.key, until = call.until](error_code) {
    if (stopped_ || Clock::now() >= until) return;
    std::vector<std::size_t> up;
    for (std::size_t n = 0; n < proxies_.size(); ++n) {
      if (!proxies_[n].paused && !proxies_[n].open_only) up.push_back(n);
    }
    if (!up.empty()) start(up[random_.below(static_cast<std::uint32_t>(up.size()))], *asked, key, until);
  });
}

}  // namespace client_proxy::rig
