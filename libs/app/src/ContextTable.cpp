#include "app/ContextTable.h"

#include "fmt/format.h"

#include <charconv>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr std::size_t WordDigits = 16;

std::optional<std::uint64_t> parseWord(std::string_view Text) {
  std::uint64_t Word = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Word, 16);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Word;
}

} // namespace

std::string toText(const ContextId &Id) {
  return fmt::format("{:016x}{:016x}", Id[0], Id[1]);
}

std::optional<ContextId> contextFromText(std::string_view Text) {
  if (Text.size() != 2 * WordDigits)
    return std::nullopt;
  auto High = parseWord(Text.substr(0, WordDigits));
  auto Low = parseWord(Text.substr(WordDigits));
  if (!High || !Low)
    return std::nullopt;
  return ContextId{*High, *Low};
}

ContextTable::ContextTable(std::function<std::uint64_t()> Random)
    : m_Random(std::move(Random)) {}

ContextId ContextTable::open(CallContext Context) {
  ContextId Id = {m_Random(), m_Random()};
  m_Contexts.insert_or_assign(Id, std::move(Context));
  return Id;
}

CallContext *ContextTable::find(const ContextId &Id) {
  auto Found = m_Contexts.find(Id);
  return Found == m_Contexts.end() ? nullptr : &Found->second;
}

void ContextTable::close(const ContextId &Id) { m_Contexts.erase(Id); }

} // namespace knapweedloft::app
