#include "experiment/PlayResult.h"

#include "experiment/ExperimentError.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::experiment {
namespace {

using nlohmann::json;

/// Rows of the report are [name, weight or amount, value].
constexpr std::size_t ValueIndex = 2;

void addRows(const json &Rows, const std::string &Prefix,
             std::map<std::string, double> &Into) {
  for (const json &Row : Rows)
    Into[Prefix + Row.at(0).get<std::string>()] =
        Row.at(ValueIndex).get<double>();
}

double shareOf(const json &Counts, const char *Name) {
  double All = std::max(1.0, Counts.at("n").get<double>());
  return Counts.at(Name).get<double>() / All;
}

} // namespace

json toJson(const PlayResult &From) {
  return {{"variant", From.m_Id.m_Variant},
          {"site", From.m_Id.m_Site},
          {"day", From.m_Id.m_Day},
          {"seed", From.m_Id.m_Seed},
          {"commit", From.m_Commit},
          {"figures", From.m_Figures},
          {"broken_rules", From.m_BrokenRules}};
}

PlayResult playFromJson(const json &From) {
  PlayResult Read;
  From.at("variant").get_to(Read.m_Id.m_Variant);
  From.at("site").get_to(Read.m_Id.m_Site);
  From.at("day").get_to(Read.m_Id.m_Day);
  From.at("seed").get_to(Read.m_Id.m_Seed);
  From.at("commit").get_to(Read.m_Commit);
  From.at("figures").get_to(Read.m_Figures);
  From.at("broken_rules").get_to(Read.m_BrokenRules);
  return Read;
}

PlayResult readReport(const std::string &Text, PlayId Of) {
  PlayResult Read{.m_Id = std::move(Of)};
  try {
    json Report = json::parse(Text);
    Read.m_Figures = {{"worth", Report.at("G")},
                      {"served", Report.at("served")},
                      {"refused", Report.at("refused")},
                      {"failed", Report.at("failed")},
                      {"in time", shareOf(Report.at("all"), "in_aim")},
                      {"late", shareOf(Report.at("all"), "late")}};
    addRows(Report.at("parts"), "", Read.m_Figures);
    addRows(Report.at("prices"), "price ", Read.m_Figures);
    for (const auto &[Rule, Cases] : Report.at("breaks").items())
      Read.m_BrokenRules.push_back(Rule);
    if (!Report.at("fault").is_null())
      Read.m_BrokenRules.push_back(Report.at("fault").dump());
  } catch (const json::exception &Error) {
    throw ExperimentError(fmt::format("no report of a play: {}", Error.what()));
  }
  return Read;
}

} // namespace knapweedloft::experiment
