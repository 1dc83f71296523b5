#include "app/WireConvert.h"

#include <utility>

namespace knapweedloft::app {

WireHeaders toWire(http::HeaderList Headers) {
  WireHeaders Result;
  Result.reserve(Headers.size());
  for (http::HeaderField &Field : Headers) {
    auto Header = std::make_unique<wire::HeaderT>();
    Header->name = std::move(Field.m_Name);
    Header->value = std::move(Field.m_Value);
    Result.push_back(std::move(Header));
  }
  return Result;
}

http::HeaderList fromWire(WireHeaders Headers) {
  http::HeaderList Result;
  Result.reserve(Headers.size());
  for (auto &Header : Headers)
    if (Header)
      Result.push_back({std::move(Header->name), std::move(Header->value)});
  return Result;
}

wire::ForwardId toWire(const model::ForwardId &Id) {
  return {Id.m_Entry, Id.m_Sequence};
}

model::ForwardId fromWire(const wire::ForwardId &Id) {
  return {Id.entry(), Id.sequence()};
}

std::vector<std::uint8_t> toBytes(std::string_view Text) {
  return {Text.begin(), Text.end()};
}

std::string toText(const std::vector<std::uint8_t> &Bytes) {
  return {Bytes.begin(), Bytes.end()};
}

} // namespace knapweedloft::app
