#include "site.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <deque>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "slow_start_budget.h"

namespace client_proxy::rig {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kEmptyLine{2};

std::string textOf(const Tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

// One connection of a proxy: requests are read one by one, and answered when `serve` says.
class Session : public std::enable_shared_from_this<Session> {
 public:
  using Request = http::request<http::string_body>;
  using Serve = std::function<void(const std::shared_ptr<Session>&, Request)>;
  // `hold`: does what follows once the network lets it pass.
  using Hold = std::function<void(std::function<void()>)>;

  Session(Tcp::socket socket, Serve serve, Hold hold, Span round_trip = Span(0))
      : socket_(std::move(socket)),
        serve_(std::move(serve)),
        hold_(std::move(hold)),
        round_trip_(round_trip) {}

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec) return;
      self->after(self->round_trip_, [self] {
        self->hold_([self] {
          if (self->socket_.is_open() && !self->gone()) self->serve_(self, self->parser_->release());
        });
      });
    });
  }
  // The same bytes as those of the last answer, once more.
  void answerAgain(Span delay) {
    after(delay, [self = shared_from_this(), response = last_answer_] {
      http::async_write(self->socket_, *response, [self, response](error_code, std::size_t) {});
    });
  }
  void answer(http::status status, std::string body, bool unprocessed = false, std::uint32_t term = 0) {
    auto response = std::make_shared<http::response<http::string_body>>(status, 11);
    if (unprocessed) response->set("X-Unprocessed", "1");
    if (term != 0) response->set("X-Service-Term", std::to_string(term));
    response->body() = std::move(body);
    response->prepare_payload();
    last_answer_ = response;
    hold_([self = shared_from_this(), response] {
      http::async_write(self->socket_, *response, [self, response](error_code ec, std::size_t) {
        if (!ec) self->read();
      });
    });
  }
  void say(std::string text) {
    hold_([self = shared_from_this(), text = std::move(text)]() mutable {
      self->out_.push_back(std::move(text));
      if (self->out_.size() == 1) self->write();
    });
  }
  // Nothing more is read; the connection lasts until the other side ends it.
  void stay() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      error_code ignored;
      self->socket_.close(ignored);
    });
  }
  // With a reset, as of a process that dies.
  void reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  void after(Span delay, std::function<void()> then) {
    if (delay == Span(0)) return then();
    auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), delay);
    timer->async_wait([timer, then = std::move(then)](error_code) { then(); });
  }
  // Whoever sent it gave it up while the way was cut: it never got through.
  bool gone() {
    char byte = 0;
    return recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  void write() {
    asio::async_write(socket_, asio::buffer(out_.front()),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        self->out_.pop_front();
                        if (!ec && !self->out_.empty()) self->write();
                      });
  }
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::string> out_;
  Serve serve_;
  Hold hold_;
  const Span round_trip_;
  std::shared_ptr<http::response<http::string_body>> last_answer_;
};

using Sessions = std::set<std::weak_ptr<Session>, std::owner_less<std::weak_ptr<Session>>>;

void resetAll(Sessions& sessions) {
  for (const auto& s : sessions) {
    if (const auto session = s.lock()) session->reset();
  }
  sessions.clear();
}

}  // namespace

void Ways::set(std::size_t zone, bool cut) {
  cut_[zone] = cut;
  std::list<Waiting> waiting;
  waiting.swap(waiting_);
  for (Waiting& w : waiting) whenOpen(w.a, w.b, std::move(w.then));
}

void Ways::whenOpen(std::size_t a, std::size_t b, std::function<void()> then) {
  if (open(a, b)) return then();
  waiting_.push_back({a, b, std::move(then)});
}

Door::Door(asio::io_context& io, const asio::ip::address& address, Taken taken)
    : io_(io), at_(address, 0), acceptor_(io), taken_(std::move(taken)) {
  open();
}

void Door::open() {
  if (!acceptor_.is_open()) {
    acceptor_.open(at_.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(at_);
    at_ = acceptor_.local_endpoint();
  }
  acceptor_.listen();
  fillers_.clear();
  taking_ = true;
  accept();
}

// The kernel leaves a first packet unanswered where the queue of those not yet accepted is full (listen(2)).
void Door::block() {
  if (!acceptor_.is_open()) return;
  taking_ = false;
  acceptor_.cancel();
  acceptor_.listen(0);
  for (int i = 0; i < 2; ++i) {
    fillers_.emplace_back(io_);
    fillers_.back().async_connect(at_, [](error_code) {});
  }
}

void Door::close() {
  taking_ = false;
  acceptor_.close();
  fillers_.clear();
}

void Door::accept() {
  acceptor_.async_accept([this](error_code ec, Tcp::socket socket) {
    if (ec) return;
    socket.set_option(Tcp::no_delay(true));
    taken_(std::move(socket));
    if (taking_) accept();
  });
}

namespace {

// The doors to one place, by the zone of who comes: open where the way is, blocked where it is cut.
void settleAll(const std::vector<std::unique_ptr<Door>>& doors, const Ways& ways, std::size_t place,
               bool up) {
  for (std::size_t from = 0; up && from < doors.size(); ++from) {
    const bool open = ways.open(from, place);
    if (open != doors[from]->taking()) open ? doors[from]->open() : doors[from]->block();
  }
}

}  // namespace

// A machine with some cores and one queue before them. Cold, it works slowly.
class Host {
 public:
  Host(asio::io_context& io, const asio::ip::address& address, Ways& ways, const Plan& plan,
       std::size_t number, load_balancer::Random& random, Record& record, ZoneMemory& memory)
      : io_(io),
        ways_(ways),
        zone_(plan.zoneOfHost(number)),
        plan_(plan.zones[zone_]),
        slow_start_(plan.slow_start),
        second_answers_(plan.second_answers),
        clock_error_(plan.host_clock_error),
        number_(number),
        random_(random),
        record_(record),
        memory_(memory),
        classes_(plan.classes) {
    for (std::size_t from = 0; from < plan.zones.size(); ++from) {
      doors_.push_back(std::make_unique<Door>(io, address, [this, from](Tcp::socket socket) {
        const auto session = std::make_shared<Session>(
            std::move(socket), [this](const auto& s, auto request) { take(s, std::move(request)); },
            [this, from](auto then) { ways_.whenOpen(from, zone_, std::move(then)); },
            second_answers_.every > 0 ? second_answers_.round_trip : Span(0));
        sessions_.insert(session);
        session->read();
      }));
    }
  }

  const Tcp::endpoint& door(std::size_t from) const { return doors_[from]->at(); }
  std::size_t zone() const { return zone_; }
  std::size_t ran() const { return ran_; }
  std::int64_t boot() const { return boot_; }
  bool up() const { return up_; }

  void settle() { settleAll(doors_, ways_, zone_, up_); }
  void crash() {
    up_ = false;
    ++life_;
    for (const auto& door : doors_) door->close();
    resetAll(sessions_);
    waiting_.clear();
    busy_ = 0;
  }
  void start() {
    up_ = true;
    started_ = Clock::now();
    record_.add({.what = Event::What::Started, .host = static_cast<int>(number_)});
    boot_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch() + clock_error_)
                .count();
    settle();
  }

 private:
  struct Job {
    std::shared_ptr<Session> session;
    Session::Request request;
  };

  void take(const std::shared_ptr<Session>& session, Session::Request request) {
    if (request["X-Correlation-Id"].empty()) return session->answer(http::status::not_found, "");
    record_.add({.what = Event::What::Reached,
                 .id = std::string(request["X-Correlation-Id"]),
                 .host = static_cast<int>(number_)});
    if (!mine(session, request)) return;
    const bool rejected = plan_.rejected_every > 0 && ++requests_ % plan_.rejected_every == 0;
    if (!rejected && busy_ < plan_.cores) return work({session, std::move(request)});
    if (rejected || waiting_.size() >= plan_.queue)
      return session->answer(http::status::service_unavailable, "", true);
    waiting_.push_back({session, std::move(request)});
  }

  // Not that of a term below the newest that its zone has seen, nor a repeat of what ran there.
  bool mine(const std::shared_ptr<Session>& session, const Session::Request& request) {
    const std::string target(request.target());
    const std::string of = target.substr(1, target.find('/', 1) - 1);
    if (const std::string term(request["X-Service-Term"]); !term.empty()) {
      std::uint32_t& newest = memory_.terms[of];
      const auto asked = static_cast<std::uint32_t>(std::stoul(term));
      if (asked < newest) {
        session->answer(http::status::service_unavailable, "", true, newest);
        return false;
      }
      newest = asked;
    }
    const auto c =
        std::find_if(classes_.begin(), classes_.end(), [&](const ClassPlan& k) { return k.name == of; });
    const std::string key(request["Idempotency-Key"]);
    if (key.empty() || c == classes_.end()) return true;
    const auto ran = memory_.keys.find(key);
    if (ran == memory_.keys.end() || Clock::now() - ran->second > c->window + c->deadline) return true;
    session->answer(http::status::ok, std::string(request["X-Correlation-Id"]));
    return false;
  }

  void work(Job job) {
    ++busy_;
    ++ran_;
    record_.add({.what = Event::What::Ran,
                 .id = std::string(job.request["X-Correlation-Id"]),
                 .host = static_cast<int>(number_),
                 .key = std::string(job.request["Idempotency-Key"])});
    if (const std::string key(job.request["Idempotency-Key"]); !key.empty()) memory_.keys[key] = Clock::now();
    const double mean = std::chrono::duration<double>(plan_.work).count() / speed();
    const std::chrono::duration<double> span(-std::log(1 - random_.unit()) * mean);
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::duration_cast<Clock::duration>(span));
    timer->async_wait([this, timer, job = std::move(job), life = life_](error_code) {
      if (life != life_) return;
      --busy_;
      job.session->answer(http::status::ok, std::string(job.request["X-Correlation-Id"]));
      if (second_answers_.every > 0 && ++answers_ % second_answers_.every == 0)
        job.session->answerAgain(second_answers_.delay);
      if (waiting_.empty()) return;
      Job next = std::move(waiting_.front());
      waiting_.pop_front();
      work(std::move(next));
    });
  }

  double speed() const {
    if (!started_) return 1;
    return capacityAt(slow_start_, std::chrono::duration_cast<Span>(Clock::now() - *started_));
  }

  asio::io_context& io_;
  Ways& ways_;
  const std::size_t zone_;
  const ZonePlan plan_;
  const SlowStartPlan slow_start_;
  const SecondAnswerPlan second_answers_;
  const Span clock_error_;
  const std::size_t number_;
  load_balancer::Random& random_;
  Record& record_;
  ZoneMemory& memory_;
  const std::vector<ClassPlan> classes_;
  std::vector<std::unique_ptr<Door>> doors_;  // by the zone of who comes
  Sessions sessions_;
  std::deque<Job> waiting_;
  std::size_t busy_ = 0, ran_ = 0, answers_ = 0, requests_ = 0;
  std::uint64_t life_ = 0;
  bool up_ = true;
  std::optional<Clock::time_point> started_;  // nothing: long ago
  std::int64_t boot_ = 0;                     // Unix milliseconds; 0: long ago
};

// Discovery: one list, told to all who watch.
class Directory {
 public:
  Directory(asio::io_context& io, const asio::ip::address& address, Ways& ways, std::size_t zones,
            const std::vector<std::unique_ptr<Host>>& hosts, const std::vector<ZonePlan>& names)
      : ways_(ways), hosts_(hosts), names_(names), states_(hosts.size(), "active"), timer_(io) {
    for (std::size_t from = 0; from < zones; ++from) {
      watches_.emplace_back();
      doors_.push_back(std::make_unique<Door>(io, address, [this, from](Tcp::socket socket) {
        const auto session = std::make_shared<Session>(
            std::move(socket), [this, from](const auto& s, auto request) { serve(from, s, request); },
            [this, from](auto then) { ways_.whenOpen(from, ways_.outside(), std::move(then)); });
        sessions_.insert(session);
        session->read();
      }));
    }
    beat();
  }

  const Tcp::endpoint& door(std::size_t from) const { return doors_[from]->at(); }
  void settle() { settleAll(doors_, ways_, ways_.outside(), up_); }
  void set(bool up) {
    up_ = up;
    if (up) return settle();
    for (const auto& door : doors_) door->close();
    for (auto& w : watches_) w.clear();
    resetAll(sessions_);
  }
  void change(std::size_t host, const char* state) {
    states_[host] = state;
    ++revision_;
    for (std::size_t from = 0; from < watches_.size(); ++from) tell(from, line(from, {host}, false));
  }

  std::string whole(std::size_t from) const {
    std::vector<std::size_t> which;
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      if (states_[n] != "left") which.push_back(n);
    }
    return line(from, which, true);
  }

 private:
  json entry(std::size_t from, std::size_t n) const {
    return {{"uid", "h" + std::to_string(n)},
            {"endpoint", textOf(hosts_[n]->door(from))},
            {"az", names_[hosts_[n]->zone()].name},
            {"state", states_[n]},
            {"boot_ms", hosts_[n]->boot()}};
  }
  std::string line(std::size_t from, const std::vector<std::size_t>& which, bool all) const {
    json targets = json::array();
    for (const std::size_t n : which) targets.push_back(entry(from, n));
    return json{{"rev", revision_}, {"all", all}, {"targets", targets}}.dump() + "\n";
  }
  static std::string chunk(const std::string& text) {
    std::string size(16, '\0');
    size.resize(static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx\r\n", text.size())));
    return size + text + "\r\n";
  }
  void serve(std::size_t from, const std::shared_ptr<Session>& s, const Session::Request& request) {
    if (request.target().find("watch=1") == boost::beast::string_view::npos)
      return s->answer(http::status::ok, whole(from));
    watches_[from].insert(s);
    s->stay();
    s->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole(from)));
  }
  void tell(std::size_t from, const std::string& text) {
    for (const auto& w : watches_[from]) {
      if (const auto session = w.lock()) session->say(chunk(text));
    }
  }
  void beat() {
    timer_.expires_after(kEmptyLine);
    timer_.async_wait([this](error_code ec) {
      if (ec) return;
      for (std::size_t from = 0; from < watches_.size(); ++from) tell(from, "\n");
      beat();
    });
  }

  Ways& ways_;
  const std::vector<std::unique_ptr<Host>>& hosts_;
  const std::vector<ZonePlan> names_;
  std::vector<std::string> states_;
  int revision_ = 1;
  bool up_ = true;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<Sessions> watches_;  // by zone
  Sessions sessions_;
  asio::steady_timer timer_;
};

Site::Site(const Plan& plan, Record& record)
    : plan_(plan),
      record_(record),
      work_(io_.get_executor()),
      random_(plan.seed),
      ways_(plan.zones.size()),
      memories_(plan.zones.size()) {
  const asio::ip::address address =
      asio::ip::address_v4(0x7F'50'00'00U | (static_cast<unsigned>(getpid()) & 0xFFFFU));
  for (std::size_t n = 0; n < plan_.hosts(); ++n)
    hosts_.push_back(std::make_unique<Host>(io_, address, ways_, plan_, n, random_, record_,
                                            memories_[plan_.zoneOfHost(n)]));
  directory_ = std::make_unique<Directory>(io_, address, ways_, plan_.zones.size(), hosts_, plan_.zones);
  thread_ = std::thread([this] { io_.run(); });
}

Site::~Site() {
  io_.stop();
  thread_.join();
}

Site::Endpoint Site::discovery(std::size_t zone) const { return directory_->door(zone); }

// In the site's thread, and done when this returns.
void Site::carryOut(const std::function<void()>& what) const {
  std::promise<void> done;
  asio::post(io_, [&] {
    what();
    done.set_value();
  });
  done.get_future().wait();
}

std::string Site::known(std::size_t zone) const {
  std::string list;
  carryOut([&] { list = directory_->whole(zone); });
  return list;
}

std::vector<std::size_t> Site::ran() const {
  std::vector<std::size_t> all;
  carryOut([&] {
    for (const auto& h : hosts_) all.push_back(h->ran());
  });
  return all;
}

void Site::cut(std::size_t zone, bool cut) {
  carryOut([&] {
    ways_.set(zone, cut);
    for (const auto& h : hosts_) h->settle();
    directory_->settle();
  });
}

void Site::host(std::size_t n, bool up) {
  carryOut([&] {
    if (!up) return hosts_[n]->crash();
    hosts_[n]->start();
    directory_->change(n, "active");
  });
}

void Site::leave(std::size_t n, bool leaving) {
  carryOut([&] {
    record_.add({.what = leaving ? Event::What::Left : Event::What::Back, .host = static_cast<int>(n)});
    directory_->change(n, leaving ? "leaving" : "active");
  });
}

void Site::discovery(bool up) {
  carryOut([&] { directory_->set(up); });
}

}  // namespace client_proxy::rig
