#include "telemetry/OutcomeTable.h"

#include "model/AbslView.h"

#include "fmt/format.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace knapweedloft::telemetry {
namespace {

constexpr std::string_view OtherNames = "other";

/// \returns \p Text as the value of a label.
std::string escaped(std::string_view Text) {
  std::string Safe;
  for (char Character : Text) {
    if (Character == '"' || Character == '\\')
      Safe += '\\';
    Safe += Character == '\n' ? ' ' : Character;
  }
  return Safe;
}

} // namespace

void OutcomeTable::count(std::string_view Name, std::string_view Outcome) {
  auto Found = m_Names.find(model::toAbsl(Name));
  if (Found == m_Names.end()) {
    std::string_view Kept =
        m_Names.size() < m_Settings.m_MaxNames ? Name : OtherNames;
    Found = m_Names.try_emplace(std::string(Kept)).first;
  }
  Counts &Of = Found->second;
  auto Counted = Of.find(model::toAbsl(Outcome));
  if (Counted == Of.end())
    Of.emplace(std::string(Outcome), 1);
  else
    ++Counted->second;
}

void OutcomeTable::appendTo(std::string &Text, std::string_view Metric,
                            std::string_view Label) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Of] : m_Names)
    Names.push_back(Name);
  std::sort(Names.begin(), Names.end());
  for (const std::string &Name : Names)
    for (const auto &[Outcome, Count] : m_Names.at(Name))
      fmt::format_to(std::back_inserter(Text),
                     "knapweedloft_{}{{{}=\"{}\",outcome=\"{}\"}} {}\n", Metric,
                     Label, escaped(Name), Outcome, Count);
}

} // namespace knapweedloft::telemetry
