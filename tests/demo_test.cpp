// The demonstration as a newcomer runs it: it starts, loses a host, loses no request, and stops what it
// started.
#include <cstdio>

#include "operator_support.h"

namespace client_proxy::test {
namespace {

TEST(Demo, EveryRequestIsAnsweredOnceAlthoughAHostIsKilled) {
  Loop loop;
  Files files;
  const std::vector<tcp::endpoint> hosts = {freePort(loop), freePort(loop), freePort(loop)};
  const tcp::endpoint listen = freePort(loop);
  std::string text = alone(poolOf(hosts));
  text.replace(text.find("127.0.0.1:0"), 11, textOf(listen));
  std::string command = CLIENT_PROXY_DEMO;
  command += std::string(" ") + CLIENT_PROXY_PROGRAM + " " + files.write("demo.conf", text) + " 2>&1";
  FILE* const out = popen(command.c_str(), "r");
  ASSERT_NE(out, nullptr);
  std::string said;
  char bytes[4096];
  while (const std::size_t n = std::fread(bytes, 1, sizeof bytes, out)) said.append(bytes, n);
  const int status = pclose(out);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << said;
  EXPECT_NE(said.find("every request got exactly one answer"), std::string::npos) << said;
  EXPECT_NE(said.find("s-2 is killed"), std::string::npos) << said;
  EXPECT_NE(said.find("ejected s-2"), std::string::npos) << said;
  for (const tcp::endpoint& at : {hosts[0], hosts[2], listen}) {
    tcp::socket probe(loop.io);
    error_code ec;
    probe.connect(at, ec);
    EXPECT_TRUE(ec) << "somebody still listens at " << at;
  }
}

}  // namespace
}  // namespace client_proxy::test
