// The JSON form of the messages between replicas, subscribers and commands.
//
// format...() throws CodecError if a string is not UTF-8; parse...() throws CodecError that names the key.
// Parsing limits all sizes (distribution/types.h) and ignores unknown keys.
#pragma once

#include <string>
#include <string_view>

#include "distribution/json_object.h"
#include "distribution/types.h"

namespace client_proxy::distribution {

/// With the text, as in the answer to GET /v1/changes/N and in messages between replicas.
nlohmann::json toJson(const Change& change);
/// Also throws CodecError if the digest does not match the text.
Change changeFromJson(const JsonObject& object);
std::string formatChange(const Change& change);
Change parseChange(std::string_view text);

/// The change with its whole text, for a subscriber.
ChangeNotice noticeOf(const Change& change);
/// The change as a delta to `base`, or with its whole text if that is not longer.
ChangeNotice noticeOf(const Change& change, const Change& base);

/// One line of a watch, including the line break.
std::string formatWatchLine(const WatchLine& line);
/// Parses a line without its line break. Throws CodecError if the digest does not match a whole text.
WatchLine parseWatchLine(std::string_view line);

std::string formatAcknowledgement(const Acknowledgement& acknowledgement);
Acknowledgement parseAcknowledgement(std::string_view text);

std::string formatPublishRequest(const PublishRequest& request);
PublishRequest parsePublishRequest(std::string_view text);
std::string formatPublished(const Published& published);
Published parsePublished(std::string_view text);
std::string formatConflict(const Conflict& conflict);
Conflict parseConflict(std::string_view text);
std::string formatCallError(const CallError& error);
CallError parseCallError(std::string_view text);

std::string formatStatus(const Status& status);
Status parseStatus(std::string_view text);

}  // namespace client_proxy::distribution
