#include <cstdio>

#include "weldflow/balancer.h"

int main() {
  weldflow::Settings settings;
  settings.client = 3;  // this client's number
  settings.classes = {{.aim = 200'000, .deadline = 1'000'000, .effect = weldflow::Effect::Safe}};
  weldflow::Balancer balancer(settings, /*seed=*/12345);

  weldflow::Actions actions;
  const weldflow::Host hosts[] = {{.id = "a"}, {.id = "b"}};
  weldflow::Time now = 0;  // your clock, in microseconds
  balancer.onServers(now, weldflow::ListKind::Restored, hosts, actions);
  balancer.onRequest(now, {.id = 1, .time_left = 900'000, .request_class = 0}, actions);
  for (const weldflow::Action& a : actions) {  // carry them out in order
    if (a.kind == weldflow::ActionKind::Send) {
      std::printf("request 1 goes to %.*s\n", static_cast<int>(a.server.size()), a.server.data());
    }
  }
  actions.clear();
  balancer.onOutcome(now + 20'000, {.request = 1, .attempt = 0, .latency = 20'000}, actions);
}
