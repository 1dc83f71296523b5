#ifndef KNAPWEEDLOFT_STATE_RECORDS_H
#define KNAPWEEDLOFT_STATE_RECORDS_H

#include "state/RecordCodec.h"
#include "state/StateError.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft::state {

/// Payloads for tests.
inline std::string put(const std::string &ChangeId, model::Resource What,
                       std::optional<std::uint64_t> Expected = std::nullopt) {
  return encodeRecord({.m_Entry = ResourceChange{.m_ChangeId = ChangeId,
                                                 .m_Kind = model::kindOf(What),
                                                 .m_Name = model::nameOf(What),
                                                 .m_ExpectedRevision = Expected,
                                                 .m_Resource = What}});
}

inline std::string
putCustomer(const std::string &ChangeId, const std::string &Name,
            std::optional<std::uint64_t> Expected = std::nullopt) {
  return put(ChangeId, model::Customer{.m_Name = Name, .m_DisplayName = ""},
             Expected);
}

inline std::string putKey(const std::string &ChangeId, const std::string &Name,
                          const std::string &Customer,
                          const model::KeyDigest &Digest) {
  return put(
      ChangeId,
      model::Key{.m_Name = Name, .m_Customer = Customer, .m_Digest = Digest});
}

inline std::string
removal(const std::string &ChangeId, model::ResourceKind Kind,
        const std::string &Name,
        std::optional<std::uint64_t> Expected = std::nullopt) {
  return encodeRecord(
      {.m_Entry = ResourceChange{.m_ChangeId = ChangeId,
                                 .m_Kind = Kind,
                                 .m_Name = Name,
                                 .m_ExpectedRevision = Expected}});
}

inline model::Member memberNamed(const std::string &Name,
                                 model::Incarnation Incarnation,
                                 const std::string &Service = "orders") {
  return {.m_Name = Name,
          .m_Incarnation = Incarnation,
          .m_Link = {"127.0.0.1", 7000},
          .m_Region = "vidzeme",
          .m_DataCenter = "dc1",
          .m_Service = Service};
}

inline std::string join(const model::Member &Who) {
  return encodeRecord({.m_Entry = Join{Who}});
}

inline std::string leave(const std::string &Name, model::Incarnation Who,
                         bool IsDeath = false) {
  return encodeRecord({.m_Entry = Leave{Name, Who, IsDeath}});
}

inline std::string claim(std::uint32_t Shard, std::uint64_t Expected,
                         const std::string &Name) {
  return encodeRecord({.m_Entry = KeeperClaim{Shard, Expected, Name, 1}});
}

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_RECORDS_H
