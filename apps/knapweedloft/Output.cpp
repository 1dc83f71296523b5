#include "Output.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace knapweedloft {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxCellBytes = 32;

std::vector<std::string> columnsOf(const std::vector<Json> &Items) {
  std::vector<std::string> Columns{"name"};
  for (const Json &Each : Items)
    for (const auto &[Name, Value] : Each.items())
      if (Name != "kind" &&
          std::find(Columns.begin(), Columns.end(), Name) == Columns.end())
        Columns.push_back(Name);
  return Columns;
}

std::string cellAt(const Json &Item, const std::string &Column) {
  auto Found = Item.find(Column);
  if (Found == Item.end())
    return "-";
  std::string Cell = cellOf(*Found);
  if (Cell.size() > MaxCellBytes)
    Cell = Cell.substr(0, MaxCellBytes - 3) + "...";
  return Cell;
}

std::string paddedRow(const std::vector<std::string> &Cells,
                      const std::vector<std::size_t> &Widths) {
  std::string Row;
  for (std::size_t Index = 0; Index < Cells.size(); ++Index)
    Row += fmt::format("{:<{}}  ", Cells[Index], Widths[Index]);
  Row.erase(Row.find_last_not_of(' ') + 1);
  return Row;
}

} // namespace

void printTable(const std::vector<Json> &Items) {
  const std::vector<std::string> Columns = columnsOf(Items);
  std::vector<std::vector<std::string>> Rows{Columns};
  for (const Json &Item : Items) {
    std::vector<std::string> &Row = Rows.emplace_back();
    for (const std::string &Column : Columns)
      Row.push_back(cellAt(Item, Column));
  }
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Row : Rows)
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  for (const auto &Row : Rows)
    fmt::print("{}\n", paddedRow(Row, Widths));
}

void printJson(const Json &Value) {
  constexpr int Indent = 2;
  fmt::print("{}\n", Value.dump(Indent));
}

std::string cellOf(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>().empty() ? "-" : Value.get<std::string>();
  return Value.dump();
}

} // namespace knapweedloft
