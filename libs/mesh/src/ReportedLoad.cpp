#include "mesh/ReportedLoad.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace knapweedloft::mesh {
namespace {

/// Requests that one target can hold; descriptors and memory end before.
constexpr std::uint32_t MaxRequests = 100'000;
/// In percent. Work that takes a twentieth or fifty times the usual time is a
/// fault of the figure, or of the target, which health checks find.
constexpr double MinPacePercent = 5;
constexpr double MaxPacePercent = 5'000;

std::vector<std::string_view> fieldsOf(std::string_view Text) {
  std::vector<std::string_view> Fields;
  while (true) {
    std::size_t Comma = Text.find(',');
    Fields.push_back(Text.substr(0, Comma));
    if (Comma == std::string_view::npos)
      return Fields;
    Text.remove_prefix(Comma + 1);
  }
}

/// \returns the number that the field consists of.
template <typename NumberT>
std::optional<NumberT> numberIn(std::string_view Field) {
  Field.remove_prefix(std::min(Field.find_first_not_of(' '), Field.size()));
  NumberT Value = 0;
  const char *End = Field.data() + Field.size();
  auto Read = std::from_chars(Field.data(), End, Value);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

std::optional<std::uint32_t> requestsIn(std::string_view Field) {
  auto Value = numberIn<std::uint32_t>(Field);
  return Value && *Value <= MaxRequests ? Value : std::nullopt;
}

std::optional<double> paceIn(std::string_view Field) {
  auto Value = numberIn<double>(Field);
  // Not a number fails both comparisons.
  if (Value && *Value >= MinPacePercent && *Value <= MaxPacePercent)
    return Value;
  return std::nullopt;
}

} // namespace

ReportedLoad ReportedLoad::parse(std::string_view Text) {
  constexpr std::size_t SlotsIndex = 2;
  constexpr std::size_t PaceIndex = 3;
  std::vector<std::string_view> Fields = fieldsOf(Text);
  ReportedLoad Load;
  Load.m_Running = requestsIn(Fields[0]);
  if (Fields.size() > 1)
    Load.m_Waiting = requestsIn(Fields[1]);
  if (Fields.size() > SlotsIndex) {
    Load.m_Slots = requestsIn(Fields[SlotsIndex]);
    if (Load.m_Slots == 0U)
      Load.m_Slots.reset();
    Load.m_HasBadSlots = !Load.m_Slots;
  }
  if (Fields.size() > PaceIndex) {
    Load.m_PacePercent = paceIn(Fields[PaceIndex]);
    Load.m_HasBadPace = !Load.m_PacePercent;
  }
  return Load;
}

} // namespace knapweedloft::mesh
