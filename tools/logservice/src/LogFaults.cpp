#include "logservice/LogFaults.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace knapweedloft::logservice {
namespace {

using Json = nlohmann::json;

void setField(LogFaults &Faults, const std::string &Name, const Json &Value) {
  if (Name == "slow_ms")
    Faults.m_Slow = absl::Milliseconds(Value.get<std::int64_t>());
  else if (Name == "down")
    Faults.m_IsDown = Value.get<bool>();
  else if (Name == "mute")
    Faults.m_IsMute = Value.get<bool>();
  else if (Name == "full")
    Faults.m_IsFull = Value.get<bool>();
  else if (Name == "lose_answers")
    Faults.m_LoseAnswers = Value.get<std::uint32_t>();
  else if (Name == "duplicate_appends")
    Faults.m_DuplicateAppends = Value.get<std::uint32_t>();
  else if (Name == "repeat_records")
    Faults.m_RepeatRecords = Value.get<std::uint32_t>();
  else if (Name == "garbage_answers")
    Faults.m_GarbageAnswers = Value.get<std::uint32_t>();
  else if (Name == "garbage_records")
    Faults.m_GarbageRecords = Value.get<std::uint32_t>();
  else
    throw std::invalid_argument("there is no fault called " + Name);
}

} // namespace

LogFaults parseFaults(std::string_view Text) {
  const Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    throw std::invalid_argument("the faults are not a JSON object");
  LogFaults Faults;
  try {
    for (const auto &[Name, Value] : Parsed.items())
      setField(Faults, Name, Value);
  } catch (const Json::exception &Error) {
    throw std::invalid_argument(Error.what());
  }
  return Faults;
}

} // namespace knapweedloft::logservice
