#include "RolloutStore.h"

#include "fmt/format.h"
#include "nlohmann/json.hpp"

#include <algorithm>

namespace knapweedloft::mesh::testing {
namespace {

constexpr absl::Duration StoreDelay = absl::Milliseconds(4);
constexpr absl::Duration Timeout = absl::Seconds(1);
constexpr absl::Duration LateBy = absl::Milliseconds(2500);

StoredRecord encode(const RolloutStatus &From) {
  nlohmann::json Values = {static_cast<int>(From.m_Outcome),
                           From.m_Order.m_Era,
                           From.m_Order.m_Offset,
                           From.m_Order.m_TargetVersion,
                           From.m_Epoch,
                           From.m_Decider};
  return {.m_Key = From.m_Service, .m_Value = Values.dump()};
}

std::optional<RolloutStatus> decode(const StoredRecord &Record) {
  nlohmann::json Values = nlohmann::json::parse(Record.m_Value);
  RolloutStatus Status;
  Status.m_Service = Record.m_Key;
  Status.m_Outcome = static_cast<RolloutOutcome>(Values[0].get<int>());
  Status.m_Order = {
      .m_Era = Values[1], .m_Offset = Values[2], .m_TargetVersion = Values[3]};
  Status.m_Epoch = Values[4];
  Status.m_Decider = Values[5];
  return Status;
}

} // namespace

StoreOutcome RolloutStore::append(const StoredRecord &Record,
                                  std::uint64_t At) {
  if (At != m_Records.size())
    return StoreOutcome::Conflict;
  m_Records.push_back(Record);
  m_Records.back().m_Offset = At;
  m_Records.back().m_Era = m_Era;
  auto Status = decode(Record);
  if (Status->isFinal())
    m_Outcomes.push_back(*Status);
  return StoreOutcome::Done;
}

void RolloutStore::write(std::size_t Index, const Later &Answer,
                         const StoredRecord &Record, std::uint64_t At,
                         const StorePort::OnWritten &OnWritten) {
  ++m_Writes;
  auto Tell = [this, Answer, OnWritten](absl::Duration After,
                                        StoreOutcome Outcome) {
    Answer(After,
           [this, OnWritten, Outcome] { OnWritten(Outcome, m_Clock()); });
  };
  if (isAway(Index))
    return Tell(Timeout, StoreOutcome::Unknown);
  switch (m_Fault) {
  case WriteFault::None:
    return m_Always(StoreDelay, [this, Tell, Record, At] {
      Tell(absl::ZeroDuration(), append(Record, At));
    });
  case WriteFault::Lost:
    m_Always(StoreDelay, [this, Record, At] { (void)append(Record, At); });
    break;
  case WriteFault::Late:
    m_Always(LateBy, [this, Record, At] { (void)append(Record, At); });
    break;
  }
  Tell(Timeout, StoreOutcome::Unknown);
}

NodePorts RolloutStore::portsFor(std::size_t Index, const Later &Answer) {
  NodePorts Ports;
  Ports.m_StatusTopic = "status";
  Ports.m_EncodeRolloutStatus = encode;
  Ports.m_DecodeRolloutStatus = decode;
  Ports.m_Store.m_ReadNewest = [this, Index,
                                Answer](const std::string &,
                                        const StorePort::OnRead &OnRead) {
    ++m_Reads;
    if (isAway(Index))
      return Answer(Timeout, [this, OnRead] { OnRead({}, m_Clock()); });
    Answer(StoreDelay, [this, OnRead] {
      StoreReadResult Read;
      Read.m_Outcome = StoreOutcome::Done;
      Read.m_Era = m_Era;
      Read.m_End = m_Records.size();
      if (!m_Records.empty())
        Read.m_Records = {m_Records.back()};
      OnRead(std::move(Read), m_Clock());
    });
  };
  Ports.m_Store.m_WriteAt =
      [this, Index, Answer](const std::string &, const StoredRecord &Record,
                            std::uint64_t At,
                            const StorePort::OnWritten &OnWritten) {
        write(Index, Answer, Record, At, OnWritten);
      };
  return Ports;
}

void RolloutStore::restore(std::size_t Records) {
  m_Records.resize(m_Records.size() - std::min(Records, m_Records.size()));
  ++m_Era;
}

std::optional<RolloutStatus> RolloutStore::status() const {
  return m_Records.empty() ? std::nullopt : decode(m_Records.back());
}

} // namespace knapweedloft::mesh::testing
