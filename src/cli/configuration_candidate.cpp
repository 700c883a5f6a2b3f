#include "cli/configuration_candidate.h"

#include "conf/syntax.h"
#include "files/overlay_source.h"

namespace client_proxy::configuration {
CheckedFiles checkCandidate(conf::FileSource& files, const std::string& operator_file,
                            const std::string& candidate_text) {
  // The shared file itself may be broken or missing here: only its path is needed.
  const std::string shared_file = conf::load(files, operator_file).shared_file;
  if (!shared_file.empty()) {
    OverlaySource with_candidate(files);
    with_candidate.put(shared_file, candidate_text);
    return checkFiles(with_candidate, operator_file);
  }
  CheckedFiles checked = checkFiles(files, operator_file);
  if (checked.ok())
    checked.configuration.found.push_back({conf::Severity::Error,
                                           {},
                                           "there is no 'configuration' here that names a shared file",
                                           "add configuration { file FILE ... }"});
  return checked;
}

CheckedFiles checkSyntax(const std::string& name, const std::string& text) {
  CheckedFiles checked;
  conf::Configuration& configuration = checked.configuration;
  conf::parse(configuration.sources, configuration.sources.add(name, text), configuration.found);
  return checked;
}

std::set<distribution::MemberId> membersOf(const CheckedFiles& checked) {
  std::set<distribution::MemberId> numbers;
  if (!checked.configuration.model.fleet) return numbers;
  for (const conf::MemberModel& member : checked.configuration.model.fleet->members)
    numbers.insert(member.number);
  for (const conf::MemberModel& member : checked.members.members) numbers.insert(member.number);
  return numbers;
}

}  // namespace client_proxy::configuration
