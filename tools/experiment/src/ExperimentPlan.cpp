#include "experiment/ExperimentPlan.h"

#include "experiment/ExperimentError.h"

#include "fmt/format.h"
#include "toml.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace knapweedloft::experiment {
namespace {

void checkKeys(const toml::value &Table, const std::set<std::string> &Known) {
  for (const auto &[Key, Value] : Table.as_table())
    if (!Known.contains(Key))
      throw ExperimentError(fmt::format("unknown key {}", Key));
}

std::string textOf(const toml::value &Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

Variant readVariant(const toml::value &Table) {
  checkKeys(Table, {"name", "commit", "settings"});
  Variant Read;
  Read.m_Name = toml::find<std::string>(Table, "name");
  Read.m_Commit = toml::find_or(Table, "commit", Read.m_Commit);
  if (!Table.contains("settings"))
    return Read;
  for (const auto &[Key, Value] : toml::find(Table, "settings").as_table())
    Read.m_Settings[Key] = textOf(Value);
  return Read;
}

ExperimentPlan readPlan(const toml::value &Document) {
  checkKeys(Document,
            {"why", "sites", "days", "seeds", "bench_options", "variant"});
  using Texts = std::vector<std::string>;
  ExperimentPlan Read;
  Read.m_Why = toml::find<std::string>(Document, "why");
  Read.m_Sites = toml::find<Texts>(Document, "sites");
  Read.m_Days = toml::find<Texts>(Document, "days");
  Read.m_Seeds = toml::find<std::vector<std::uint64_t>>(Document, "seeds");
  Read.m_BenchOptions = toml::find_or(Document, "bench_options", Texts());
  for (const toml::value &One : toml::find(Document, "variant").as_array())
    Read.m_Variants.push_back(readVariant(One));
  return Read;
}

void checkNames(const ExperimentPlan &Plan) {
  std::set<std::string> Names;
  for (const Variant &One : Plan.m_Variants) {
    bool IsPlain =
        !One.m_Name.empty() &&
        One.m_Name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_"
                                     ".") == std::string::npos;
    if (!IsPlain)
      throw ExperimentError(
          fmt::format("not a name for a variant: \"{}\"", One.m_Name));
    if (!Names.insert(One.m_Name).second)
      throw ExperimentError(fmt::format("two variants are {}", One.m_Name));
  }
  if (Names.empty() || Plan.m_Sites.empty() || Plan.m_Days.empty() ||
      Plan.m_Seeds.empty())
    throw ExperimentError("sites, days, seeds or variants are empty");
}

} // namespace

ExperimentPlan loadPlan(const std::string &Path) {
  try {
    ExperimentPlan Plan = readPlan(toml::parse(Path));
    checkNames(Plan);
    return Plan;
  } catch (const std::exception &Error) {
    throw ExperimentError(fmt::format("{}: {}", Path, Error.what()));
  }
}

} // namespace knapweedloft::experiment
