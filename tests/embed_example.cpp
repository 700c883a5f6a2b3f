// A minimal program that embeds the load_balancer library.
#include <cstdio>

#include "load_balancer/balancer.h"

int main() {
  load_balancer::Settings settings;
  settings.client = 3;  // this client's number among all clients
  settings.classes = {{.latency_objective = 200'000,
                       .deadline = 1'000'000,
                       .idempotency = load_balancer::Idempotency::Idempotent}};
  load_balancer::Balancer balancer(settings, /*seed=*/12345);

  load_balancer::Actions actions;
  const load_balancer::Host hosts[] = {{.id = "a"}, {.id = "b"}};
  load_balancer::Time now = 0;  // the embedder's clock, in microseconds
  balancer.onServers(now, load_balancer::ListKind::Restored, hosts, actions);
  balancer.onRequest(now, {.id = 1, .time_left = 900'000, .request_class = 0}, actions);
  for (const load_balancer::Action& a : actions) {  // to be carried out in order
    if (a.kind == load_balancer::ActionKind::Send) {
      std::printf("request 1 goes to %.*s\n", static_cast<int>(a.server.size()), a.server.data());
    }
  }
  actions.clear();
  balancer.onOutcome(now + 20'000, {.request = 1, .attempt = 0, .latency = 20'000}, actions);
}
