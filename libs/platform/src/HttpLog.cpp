#include "platform/HttpLog.h"

#include "HttpCaller.h"
#include "platform/OffsetExpired.h"
#include "platform/PlatformError.h"

#include "absl/strings/escaping.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace knapweedloft::platform {
namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;
constexpr int StatusUnavailable = 503;
constexpr int StatusNoSpace = 507;

[[noreturn]] void fail(PlatformErrorKind Kind, const std::string &What) {
  throw PlatformError(Kind, What);
}

/// Every name of a stream is the system's own and needs no escaping.
std::string pathOf(const std::string &Stream) { return "/streams/" + Stream; }

model::LogOffset parseAppended(const HttpOutcome &Outcome) {
  const Json Parsed = Json::parse(Outcome.m_Body, nullptr, false);
  if (Parsed.is_object()) {
    auto Offset = Parsed.find("offset");
    if (Offset != Parsed.end() && Offset->is_number_unsigned())
      return Offset->get<model::LogOffset>();
  }
  // The service took the call, so the record may stand in the log.
  fail(PlatformErrorKind::OutcomeUnknown, "the answer to an append is garbage");
}

model::LogOffset append(HttpCaller &Caller, const HttpLogOptions &Options,
                        const std::string &Stream, std::string_view Payload) {
  const HttpOutcome Outcome =
      Caller.call(pathOf(Stream), Payload, Options.m_Timeout);
  switch (Outcome.m_Status) {
  case StatusOk:
    return parseAppended(Outcome);
  case StatusUnavailable:
    fail(PlatformErrorKind::Unavailable, "the log service is away");
  case StatusNoSpace:
    fail(PlatformErrorKind::NoSpace, "the log service has no space");
  case 0:
    fail(Outcome.m_MayHaveArrived ? PlatformErrorKind::OutcomeUnknown
                                  : PlatformErrorKind::Unavailable,
         Outcome.m_Error);
  default:
    fail(PlatformErrorKind::OutcomeUnknown,
         fmt::format("the log answered an append with {}", Outcome.m_Status));
  }
}

[[noreturn]] void failMalformed() {
  fail(PlatformErrorKind::Malformed, "the answer to a read is garbage");
}

LogRecord parseRecord(const Json &Parsed) {
  LogRecord Record{.m_Offset = Parsed.at("offset").get<model::LogOffset>()};
  const auto &Text = Parsed.at("payload").get_ref<const std::string &>();
  if (!absl::Base64Unescape(Text, &Record.m_Payload))
    failMalformed();
  return Record;
}

/// Copies of a record that stand in the answer twice are dropped; a missing
/// record makes the answer malformed.
LogRead parseRead(const std::string &Body, model::LogOffset From) {
  const Json Parsed = Json::parse(Body);
  LogRead Read{.m_First = Parsed.at("first").get<model::LogOffset>(),
               .m_End = Parsed.at("end").get<model::LogOffset>()};
  model::LogOffset Next = From;
  for (const Json &Each : Parsed.at("records")) {
    LogRecord Record = parseRecord(Each);
    if (Record.m_Offset < Next)
      continue;
    if (Record.m_Offset > Next)
      failMalformed();
    Read.m_Records.push_back(std::move(Record));
    ++Next;
  }
  if (Read.m_End < Next || Read.m_First > From)
    failMalformed();
  return Read;
}

LogRead checkedRead(const std::string &Body, model::LogOffset From) {
  try {
    return parseRead(Body, From);
  } catch (const Json::exception &) {
    failMalformed();
  }
}

[[noreturn]] void failExpired(const std::string &Body) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("first") ||
      !Parsed["first"].is_number_unsigned())
    failMalformed();
  const auto First = Parsed["first"].get<model::LogOffset>();
  throw OffsetExpired(First, Parsed.value("end", First));
}

LogRead read(HttpCaller &Caller, const HttpLogOptions &Options,
             const std::string &Stream, model::LogOffset From,
             std::size_t MaxRecords, absl::Duration Wait) {
  const std::string Path =
      fmt::format("{}?from={}&max={}&wait_ms={}", pathOf(Stream), From,
                  MaxRecords, absl::ToInt64Milliseconds(Wait));
  const HttpOutcome Outcome =
      Caller.call(Path, std::nullopt, Options.m_Timeout + Wait);
  if (Outcome.m_Status == StatusOk)
    return checkedRead(Outcome.m_Body, From);
  if (Outcome.m_Status == StatusGone)
    failExpired(Outcome.m_Body);
  if (Outcome.m_Status == 0)
    fail(PlatformErrorKind::Unavailable, Outcome.m_Error);
  fail(PlatformErrorKind::Unavailable,
       fmt::format("the log answered a read with {}", Outcome.m_Status));
}

} // namespace

LogService makeHttpLog(const HttpLogOptions &Options) {
  auto Caller = std::make_shared<HttpCaller>(Options);
  return {.m_Append =
              [Caller, Options](const std::string &Stream,
                                std::string_view Payload) {
                return append(*Caller, Options, Stream, Payload);
              },
          .m_Read =
              [Caller, Options](const std::string &Stream,
                                model::LogOffset From, std::size_t MaxRecords,
                                absl::Duration Wait) {
                return read(*Caller, Options, Stream, From, MaxRecords, Wait);
              }};
}

} // namespace knapweedloft::platform
