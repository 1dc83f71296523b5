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

policy::TargetFeedback fromWire(const wire::Load &Load,
                                std::uint16_t PacePercent) {
  return {.m_Limit = Load.limit(),
          .m_InFlight = Load.in_flight(),
          .m_Queued = Load.queued(),
          .m_ShedLevel = Load.shed_level(),
          .m_Latency = absl::Microseconds(Load.latency_us()),
          .m_IsRamping = Load.is_ramping(),
          .m_Pace = PacePercent / 100.0};
}

std::vector<std::uint8_t> toBytes(std::string_view Text) {
  return {Text.begin(), Text.end()};
}

std::string toText(const std::vector<std::uint8_t> &Bytes) {
  return std::string(viewOf(Bytes));
}

std::string_view viewOf(const std::vector<std::uint8_t> &Bytes) {
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

} // namespace knapweedloft::app
