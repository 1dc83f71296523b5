#include "FieldReader.h"

#include "app/ApiError.h"

#include <fmt/format.h>

#include <charconv>

namespace knapweedloft::app {
namespace {

constexpr int BadRequest = 400;
constexpr std::size_t HexDigits = 16;

} // namespace

std::string FieldReader::text(const std::string &Name,
                              const std::optional<std::string> &Default) {
  const nlohmann::json *Value = take(Name);
  if (Value == nullptr && Default)
    return *Default;
  if (Value == nullptr || !Value->is_string())
    fail(Name, "a string");
  return Value->get<std::string>();
}

double FieldReader::number(const std::string &Name,
                           std::optional<double> Default) {
  const nlohmann::json *Value = take(Name);
  if (Value == nullptr && Default)
    return *Default;
  if (Value == nullptr || !Value->is_number())
    fail(Name, "a number");
  return Value->get<double>();
}

bool FieldReader::flag(const std::string &Name, bool Default) {
  const nlohmann::json *Value = take(Name);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean())
    fail(Name, "true or false");
  return Value->get<bool>();
}

std::optional<std::uint64_t> FieldReader::hexNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, 16);
  if (Text.size() != HexDigits || Result.ptr != End)
    return std::nullopt;
  return Value;
}

void FieldReader::finish() const {
  for (const auto &[Name, Value] : m_Fields.items())
    if (!m_Taken.contains(Name))
      throw ApiError(BadRequest, "bad-request",
                     fmt::format("{} is not a field here", Name), Name);
}

void FieldReader::fail(const std::string &Name,
                       const std::string &Allowed) const {
  const char *Verb = m_Fields.contains(Name) ? "must be" : "is needed:";
  throw ApiError(BadRequest, "bad-request",
                 fmt::format("{} {} {}", Name, Verb, Allowed), Name);
}

const nlohmann::json *FieldReader::take(const std::string &Name) {
  m_Taken.insert(Name);
  auto Found = m_Fields.find(Name);
  return Found == m_Fields.end() ? nullptr : &*Found;
}

} // namespace knapweedloft::app
