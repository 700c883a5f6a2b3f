#include "conf_property.h"

#include <optional>
#include <vector>

#include "conf/report.h"

namespace client_proxy::conf {
namespace {

// One file; whatever is included is that file again, so that loops are part of it.
struct OneFile : FileSource {
  explicit OneFile(const std::string& t) : text(t) {}
  std::optional<std::string> read(const std::string& path) override {
    return path == "main.conf" || path == "again.conf" ? std::optional(text) : std::nullopt;
  }
  std::vector<std::string> match(const std::string&) override { return {"again.conf"}; }
  const std::string& text;
};

}  // namespace

std::string brokenProperty(const std::string& bytes) {
  Sources sources;
  std::vector<Diagnostic> found;
  const Document document = parse(sources, sources.add("main.conf", bytes), found);
  for (const Diagnostic& d : found) {
    if (render(d, sources).empty()) return "a message is empty";
  }
  if (found.size() > kMostDiagnostics) return "messages have no bound";
  if (found.empty()) {
    const std::string once = format(document);
    std::vector<Diagnostic> again_found;
    const Document again = parse(sources, sources.add("again.conf", once), again_found);
    if (!again_found.empty()) return "its form has an error: " + render(again_found.front(), sources);
    if (!sameMeaning(document, again)) return "its form means something else";
    if (format(again) != once) return "its form has another form";
  }
  OneFile files(bytes);
  const Configuration whole = readConfiguration(files, "main.conf");
  for (const Diagnostic& d : whole.found) {
    if (render(d, whole.sources).empty()) return "a message is empty";
  }
  if (!whole.ok()) return {};
  const std::string dumped = dump(whole.root);
  OneFile dumped_file(dumped);
  const Configuration back = readConfiguration(dumped_file, "main.conf");
  if (!back.ok()) return "its dump has an error: " + render(back.found.front(), back.sources);
  const std::vector<Change> changes = compare(whole.root, back.root);
  if (!changes.empty()) return "its dump differs: " + changes.front().text();
  if (explain(whole, "swap-charge", "acme").empty()) return "nothing is explained";
  return {};
}

}  // namespace client_proxy::conf
