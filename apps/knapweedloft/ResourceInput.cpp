#include "ResourceInput.h"

#include "UsageError.h"
#include "model/ResourceKind.h"

#include <fmt/format.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string_view>

namespace knapweedloft {
namespace {

using Json = nlohmann::json;

/// Fields that are not strings.
constexpr std::array<std::string_view, 5> PlainFields{
    "per_second", "burst", "timeout_ms", "open", "idempotent"};

Json valueOf(const std::string &Field, const std::string &Text) {
  for (std::string_view Each : PlainFields) {
    if (Each != Field)
      continue;
    Json Value = Json::parse(Text, nullptr, false);
    if (Value.is_number() || Value.is_boolean())
      return Value;
    throw UsageError(
        fmt::format("{}={}: give a number, true or false", Field, Text));
  }
  return Text;
}

std::string takeText(Json &Object, const char *Name, const std::string &Path) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    throw UsageError(fmt::format("{}: each resource needs \"{}\"", Path, Name));
  std::string Text = Found->get<std::string>();
  Object.erase(Found);
  return Text;
}

ResourceInput inputOf(Json Object, const std::string &Path) {
  if (!Object.is_object())
    throw UsageError(Path + ": a resource must be a JSON object");
  Object.erase("revision"); // As printed by `get`.
  ResourceInput Input;
  Input.m_Kind = takeText(Object, "kind", Path);
  Input.m_Name = takeText(Object, "name", Path);
  checkKind(Input.m_Kind);
  Input.m_Fields = std::move(Object);
  return Input;
}

std::string readAll(const std::string &Path) {
  if (Path == "-")
    return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream File(Path);
  if (!File)
    throw UsageError(Path + ": cannot be read");
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

ResourceInput resourceFromArguments(const std::vector<std::string> &Arguments) {
  if (Arguments.size() < 2)
    throw UsageError("give KIND NAME FIELD=VALUE..., or --file");
  ResourceInput Input{.m_Kind = Arguments[0], .m_Name = Arguments[1]};
  checkKind(Input.m_Kind);
  for (std::size_t Index = 2; Index < Arguments.size(); ++Index) {
    const std::string &Each = Arguments[Index];
    const std::size_t Equals = Each.find('=');
    if (Equals == std::string::npos)
      throw UsageError(Each + ": give FIELD=VALUE");
    const std::string Field = Each.substr(0, Equals);
    Input.m_Fields[Field] = valueOf(Field, Each.substr(Equals + 1));
  }
  return Input;
}

std::vector<ResourceInput> resourcesFromFile(const std::string &Path) {
  Json Parsed = Json::parse(readAll(Path), nullptr, false);
  if (Parsed.is_discarded())
    throw UsageError(Path + ": is not JSON");
  if (Parsed.is_object() && Parsed.contains("items"))
    Parsed = Parsed["items"]; // As printed by `get`.
  if (!Parsed.is_array())
    return {inputOf(std::move(Parsed), Path)};
  std::vector<ResourceInput> Inputs;
  for (Json &Each : Parsed)
    Inputs.push_back(inputOf(std::move(Each), Path));
  return Inputs;
}

void checkKind(const std::string &Kind) {
  if (model::ResourceKindNames.valueOf(Kind))
    return;
  std::string Allowed;
  for (std::string_view Each : model::ResourceKindNames.m_Names)
    Allowed += " " + std::string(Each);
  throw UsageError(Kind + ": is not a kind of resource; kinds are" + Allowed);
}

} // namespace knapweedloft
