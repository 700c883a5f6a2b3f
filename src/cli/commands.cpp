#include "cli/commands.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cli/check.h"
#ifdef CLIENT_PROXY_CONFIGURATION
#include "cli/configuration_commands.h"
#endif
#include "cli/ctl.h"
#include "conf/report.h"
#include "conf/syntax.h"
#include "daemon/serve.h"
#include "files/disk_source.h"
#include "net/head_rules.h"
#include "operator/operator_file.h"

namespace client_proxy {
namespace {

struct FormatOptions {
  std::vector<std::string> files;
  bool check = false, write = false;
};

bool complain(const std::string& file, const std::string& what) {
  std::fprintf(stderr, "%s: error: %s\n", file.c_str(), what.c_str());
  return false;
}

// A file is replaced as a whole or not at all: whoever reads it meanwhile, or after a crash, sees the old or
// the new.
bool replaceFile(const std::string& file, const std::string& text) {
  std::error_code ec;
  const std::filesystem::path target = std::filesystem::canonical(file, ec);  // a link stays one
  if (ec) return complain(file, "can't be found: " + ec.message());
  const std::filesystem::path fresh = target.string() + ".new-" + std::to_string(getpid());
  {
    std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
    out << text;
    out.flush();
    if (!out) {
      std::filesystem::remove(fresh, ec);
      return complain(file, "can't be written beside it");
    }
  }
  std::filesystem::permissions(fresh, std::filesystem::status(target, ec).permissions(), ec);
  std::filesystem::rename(fresh, target, ec);
  if (!ec) return true;
  const std::string why = ec.message();
  std::filesystem::remove(fresh, ec);
  return complain(file, "can't be replaced: " + why);
}

// True: the file is in its form, or is now.
bool formatOne(const std::string& file, const FormatOptions& options) {
  const std::optional<std::string> text = DiskSource().read(file);
  if (!text) return complain(file, "can't be read");
  conf::Sources sources;
  std::vector<conf::Diagnostic> found;
  const conf::Document document = conf::parse(sources, sources.add(file, *text), found);
  print(found, sources);
  if (!found.empty()) return false;
  const std::string formatted = conf::format(document);
  if (options.check)
    return formatted == *text || complain(file, "is not in its form; client-proxy fmt --write mends it");
  if (options.write) return formatted == *text || replaceFile(file, formatted);
  std::fwrite(formatted.data(), 1, formatted.size(), stdout);
  return true;
}

int format(const FormatOptions& options) {
  bool good = true;
  for (const std::string& file : options.files) good = formatOne(file, options) && good;
  return good ? 0 : 1;
}

struct CheckOptions {
  std::string file;
  bool strict = false, json = false;
};

int check(const CheckOptions& options) {
  DiskSource files;
  CheckedFiles checked = checkFiles(files, options.file);
  if (options.strict) checked.makeWarningsErrors();
  if (options.json) {
    std::printf("%s\n", checked.asJson().c_str());
  } else {
    checked.print();
  }
  return checked.ok() ? 0 : 1;
}

// Nothing, with what is wrong printed, if the file has an error.
std::optional<conf::Configuration> readWhole(const std::string& file) {
  DiskSource files;
  conf::Configuration c = conf::readConfiguration(files, file);
  if (c.ok()) return c;
  print(c.found, c.sources);
  return std::nullopt;
}

int dump(const std::string& file) {
  const auto c = readWhole(file);
  if (!c) return 1;
  std::fputs(conf::dump(c->root).c_str(), stdout);
  return 0;
}

int diff(const std::string& before, const std::string& after) {
  const auto a = readWhole(before), b = readWhole(after);
  if (!a || !b) return 2;
  const std::vector<conf::Change> changes = conf::compare(a->root, b->root);
  for (const conf::Change& change : changes) std::printf("%s\n", change.text().c_str());
  return changes.empty() ? 0 : 1;
}

struct ExplainOptions {
  std::string file, request;
  std::vector<std::string> headers;
};

// A request as it was typed, read by the parser that clients' requests go through.
std::optional<RequestHead> headOf(const ExplainOptions& options, std::string& why) {
  std::string text = options.request;
  if (text.find(' ') == std::string::npos) text = "GET " + text;
  if (text.find(" HTTP/") == std::string::npos) text += " HTTP/1.1";
  text += "\r\n";
  bool has_host = false;
  for (const std::string& header : options.headers) {
    has_host |= header.size() > 5 && (header.rfind("Host:", 0) == 0 || header.rfind("host:", 0) == 0);
    text += header + "\r\n";
  }
  if (!has_host) text += "Host: explained\r\n";  // which class it is of does not hang on it
  text += "\r\n";
  RequestParser parser;
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(text), ec);
  if (parser.is_header_done()) return parser.head;
  why = ec.message();
  return std::nullopt;
}

int explain(const ExplainOptions& options) {
  const auto c = readWhole(options.file);
  if (!c) return 1;
  std::string why;
  const std::optional<RequestHead> head = headOf(options, why);
  if (!head) {
    std::printf("answered 400: %s\n", why.c_str());
    return 0;
  }
  const std::string_view name = firstPart(pathOf(head->target));
  const auto& classes = c->model.classes;
  const auto known =
      std::find_if(classes.begin(), classes.end(), [&](const auto& k) { return k.name == name; });
  if (c->model.pool && known != classes.end()) {
    if (const auto fault = faultOf(*head, effectOf(known->idempotency)))
      std::printf("answered %d: %.*s\n", fault->status, static_cast<int>(fault->why.size()),
                  fault->why.data());
  }
  std::fputs(conf::explain(*c, name, head->account).c_str(), stdout);
  return 0;
}

}  // namespace

int runCommand(int argc, const char* const* argv) {
  CLI::App app("A client proxy. Without a command it runs as PROXY_CONFIG says.", "client-proxy");
  app.require_subcommand(1);
  std::string operator_file;
  CLI::App* const run_command =
      app.add_subcommand("run", "Serve until SIGTERM; SIGHUP reads the files again");
  run_command->add_option("--operator", operator_file,
                          "the operator file; alone if it holds a pool, else beside PROXY_CONFIG");

  CheckOptions check_options;
  CLI::App* const check_command =
      app.add_subcommand("check", "Say all that is wrong; exit 1 if it is an error");
  check_command->add_option("FILE", check_options.file, "a configuration file")->required();
  check_command->add_flag("--strict", check_options.strict, "warnings are errors");
  check_command->add_flag("--json", check_options.json, "as a JSON list, for editors and CI");

  FormatOptions format_options;
  CLI::App* const format_command = app.add_subcommand("fmt", "Print configuration files in their one form");
  format_command->add_option("FILE", format_options.files, "configuration files")->required();
  CLI::Option* const only_check = format_command->add_flag("--check", format_options.check,
                                                           "only say which are not in it; exit 1 if any");
  format_command->add_flag("--write", format_options.write, "replace those that are not in it")
      ->excludes(only_check);

  std::string before, after;
  CLI::App* const diff_command = app.add_subcommand(
      "diff",
      "Say what differs by meaning, and its risks; exit 1 if anything does, 2 if a file has an error");
  diff_command->add_option("OLD", before, "a configuration file")->required();
  diff_command->add_option("NEW", after, "another")->required();

  ExplainOptions explain_options;
  CLI::App* const explain_command =
      app.add_subcommand("explain", "Say which class, tenant and limits a request gets, and from which line");
  explain_command->add_option("FILE", explain_options.file, "a configuration file")->required();
  explain_command->add_option("REQUEST", explain_options.request, "such as \"POST /swap-charge/7\"")
      ->required();
  explain_command
      ->add_option("-H,--header", explain_options.headers, "such as \"X-Account: acme\"; may be repeated")
      ->allow_extra_args(false);

  std::string dumped;
  CLI::App* const dump_command = app.add_subcommand(
      "dump", "Print the effective configuration, after includes and with what holds anyway");
  dump_command->add_option("FILE", dumped, "a configuration file")->required();

  CtlOptions ctl_options;
  CLI::App* const ctl_command =
      app.add_subcommand("ctl", "Call a running proxy's console; exit 1 if it says no, 2 if nobody answers");
  ctl_command->add_option("--console", ctl_options.console, "its address:port; else PROXY_CONSOLE");
  ctl_command->require_subcommand(1);
  const std::vector<std::pair<const char*, const char*>> ctl_calls = {
      {"stats", "Print the figures"},
      {"healthy", "Ask whether it can serve"},
      {"ban", "Nothing more to a host"},
      {"ready", "Use a host again"},
      {"drain", "Send clients elsewhere"},
      {"undrain", "Take clients again"},
      {"fleet", "Print what it knows of the other proxies"},
      {"zones", "Print what the proxies hold of zones"},
      {"deeds", "Print who owns which service, and wrong claims"},
      {"configuration", "Print which version of the shared configuration is in force"},
      {"recovery", "Print what is not served yet after a power cut, and what it waits for"},
      {"rehearse", "Try the file beside the operator file, by its name and .next, on recorded traffic"},
      {"rehearsal", "Print what came of it, as JSON"},
      {"give", "Give a service to a zone, whoever has it"}};
  for (const auto& [name, about] : ctl_calls) {
    CLI::App* const call = ctl_command->add_subcommand(name, about);
    call->callback([&ctl_options, name = name] { ctl_options.what = name; });
    const std::string_view which = name;
    if (which == "stats" || which == "fleet" || which == "zones" || which == "deeds" || which == "recovery")
      call->add_flag("--json", ctl_options.json, "as JSON");
    if (which == "ban" || which == "ready")
      call->add_option("ID", ctl_options.host, "the host's id in the list")->required();
    if (which == "give") {
      call->add_option("SERVICE", ctl_options.host, "its name in the operator file")->required();
      call->add_option("ZONE", ctl_options.zone, "whose hosts are to run it")->required();
    }
  }

  CLI::App* const reference_command =
      app.add_subcommand("reference", "Print the reference of all keys (Markdown)");
#ifdef CLIENT_PROXY_CONFIGURATION
  const configuration::Commands configuration_commands(app);
#endif
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  if (run_command->parsed()) return serve(operator_file);
  if (check_command->parsed()) return check(check_options);
  if (format_command->parsed()) return format(format_options);
  if (diff_command->parsed()) return diff(before, after);
  if (explain_command->parsed()) return explain(explain_options);
  if (ctl_command->parsed()) return ctl(ctl_options);
  if (dump_command->parsed()) return dump(dumped);
#ifdef CLIENT_PROXY_CONFIGURATION
  if (configuration_commands.parsed()) return configuration_commands.run();
#endif
  if (reference_command->parsed()) std::fputs(conf::reference().c_str(), stdout);
  return 0;
}

}  // namespace client_proxy
