#include "telemetry/LogText.h"

#include "fmt/format.h"

#include <algorithm>
#include <iterator>

namespace knapweedloft::telemetry {
namespace {

bool isPlain(char Character) {
  return Character > ' ' && Character < 127 && Character != '"' &&
         Character != '\\' && Character != '=';
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (char Character : Value) {
    auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\')
      Line += '\\';
    if (Byte < ' ' || Byte == 127)
      fmt::format_to(std::back_inserter(Line), "\\x{:02x}", Byte);
    else
      Line += Character;
  }
  Line += '"';
}

} // namespace

void appendLogValue(std::string &Line, std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain))
    Line += Value;
  else
    appendQuoted(Line, Value);
}

} // namespace knapweedloft::telemetry
