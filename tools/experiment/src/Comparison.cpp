#include "experiment/Comparison.h"

#include "fmt/format.h"
#include "fmt/ranges.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::experiment {
namespace {

bool isOf(const PlayId &Id, const std::string &Variant, const std::string &Site,
          const std::string &Day) {
  return Id.m_Variant == Variant && Id.m_Site == Site &&
         (Day.empty() || Id.m_Day == Day);
}

double figureOf(const PlayResult &Play, const std::string &Name) {
  auto Found = Play.m_Figures.find(Name);
  return Found == Play.m_Figures.end() ? 0 : Found->second;
}

} // namespace

Comparison::Comparison(std::vector<PlayResult> Plays, std::string First)
    : m_Plays(std::move(Plays)), m_First(std::move(First)) {}

const PlayResult *Comparison::find(const PlayId &Id) const {
  auto Found =
      std::find_if(m_Plays.begin(), m_Plays.end(),
                   [&Id](const PlayResult &Play) { return Play.m_Id == Id; });
  return Found == m_Plays.end() ? nullptr : &*Found;
}

/// \returns the values of a field in the order in which they appear, the first
/// variant before the others.
std::vector<std::string>
Comparison::valuesOf(std::string PlayId::*Field) const {
  std::vector<std::string> Values;
  for (const PlayResult &Play : m_Plays) {
    const std::string &Value = Play.m_Id.*Field;
    if (std::find(Values.begin(), Values.end(), Value) == Values.end())
      Values.push_back(Value);
  }
  std::stable_partition(
      Values.begin(), Values.end(),
      [this](const std::string &Value) { return Value == m_First; });
  return Values;
}

PairedDifference Comparison::difference(const std::string &Variant,
                                        const std::string &Site,
                                        const std::string &Day,
                                        const std::string &Figure) const {
  std::vector<double> Differences;
  for (const PlayResult &Play : m_Plays) {
    if (!isOf(Play.m_Id, Variant, Site, Day))
      continue;
    PlayId Other = Play.m_Id;
    Other.m_Variant = m_First;
    if (const PlayResult *Base = find(Other))
      Differences.push_back(figureOf(Play, Figure) - figureOf(*Base, Figure));
  }
  return pairedDifferenceOf(Differences);
}

std::string Comparison::row(const std::string &Variant, const std::string &Site,
                            const std::string &Day,
                            const std::vector<std::string> &Figures) const {
  std::size_t Plays = 0;
  for (const PlayResult &Play : m_Plays)
    Plays += isOf(Play.m_Id, Variant, Site, Day) ? 1 : 0;
  if (Plays == 0)
    return {};
  std::string Text = fmt::format("| {} | {} | {} |", Day.empty() ? "all" : Day,
                                 Variant, Plays);
  for (const std::string &Figure : Figures) {
    double Sum = 0;
    for (const PlayResult &Play : m_Plays)
      Sum += isOf(Play.m_Id, Variant, Site, Day) ? figureOf(Play, Figure) : 0;
    Text += fmt::format(" {:.4f}", Sum / static_cast<double>(Plays));
    PairedDifference Found = difference(Variant, Site, Day, Figure);
    if (Variant != m_First && Found.m_Pairs > 0)
      Text +=
          fmt::format(" ({:+.4f}: {:+.4f} to {:+.4f}{})", Found.m_Mean,
                      Found.m_Low, Found.m_High, Found.isClear() ? " *" : "");
    Text += " |";
  }
  return Text + "\n";
}

std::string Comparison::brokenRules() const {
  std::string Text;
  for (const PlayResult &Play : m_Plays)
    if (!Play.m_BrokenRules.empty())
      Text += fmt::format("- {} {} {} --seed {}: {}\n", Play.m_Id.m_Variant,
                          Play.m_Id.m_Site, Play.m_Id.m_Day, Play.m_Id.m_Seed,
                          fmt::join(Play.m_BrokenRules, ", "));
  return Text.empty() ? "No rule was broken.\n" : "Broken rules:\n\n" + Text;
}

std::string
Comparison::markdown(const std::vector<std::string> &Figures) const {
  std::string Text;
  std::vector<std::string> Days = valuesOf(&PlayId::m_Day);
  if (Days.size() > 1)
    Days.emplace_back();
  for (const std::string &Site : valuesOf(&PlayId::m_Site)) {
    Text += fmt::format("{}\n\n| day | variant | plays |", Site);
    std::string Rule = "| --- | --- | --- |";
    for (const std::string &Figure : Figures) {
      Text += fmt::format(" {} |", Figure);
      Rule += " --- |";
    }
    Text += "\n" + Rule + "\n";
    for (const std::string &Day : Days)
      for (const std::string &Variant : valuesOf(&PlayId::m_Variant))
        Text += row(Variant, Site, Day, Figures);
    Text += "\n";
  }
  return Text + brokenRules();
}

} // namespace knapweedloft::experiment
