#ifndef KNAPWEEDLOFT_STATE_SITE_H
#define KNAPWEEDLOFT_STATE_SITE_H

#include "state/KeyText.h"
#include "state/RecordCodec.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::state {

/// Sizes of a fleet for benchmarks, in the proportions of the size to come:
/// 5,800 members, 310 services, 2,000 customers.
struct SiteSize {
  std::size_t m_Members = 5800;

  [[nodiscard]] std::size_t services() const {
    return (m_Members * 310 + 5799) / 5800;
  }
  [[nodiscard]] std::size_t customers() const {
    return m_Members * 2000 / 5800;
  }
};

inline std::string keyTextOf(std::size_t Customer) {
  return "kwl_" + std::to_string(Customer);
}

inline std::string changeRecord(const std::string &ChangeId,
                                const model::Resource &What) {
  return encodeRecord({.m_Entry = ResourceChange{.m_ChangeId = ChangeId,
                                                 .m_Kind = model::kindOf(What),
                                                 .m_Name = model::nameOf(What),
                                                 .m_Resource = What}});
}

inline std::string memberRecord(std::size_t Index, std::uint64_t Life,
                                const SiteSize &Size) {
  const std::string Service =
      "service-" + std::to_string(Index % Size.services());
  return encodeRecord(
      {.m_Entry = Join{{.m_Name = "member-" + std::to_string(Index),
                        .m_Incarnation = Life,
                        .m_Link = {"10.1.2.3", 7000},
                        .m_Region = "region-1",
                        .m_DataCenter = "dc-" + std::to_string(Index % 7),
                        .m_Service = Service}}});
}

/// \returns the records that build a site: members, a route for each service,
/// and for each customer two keys and a rate.
inline std::vector<std::string> siteRecords(const SiteSize &Size) {
  std::vector<std::string> Records;
  auto Add = [&Records](const model::Resource &What) {
    Records.push_back(changeRecord(
        "0123456789abcdef/" + std::to_string(Records.size()), What));
  };
  for (std::size_t Index = 0; Index < Size.m_Members; ++Index)
    Records.push_back(memberRecord(Index, Index + 1, Size));
  for (std::size_t Index = 0; Index < Size.services(); ++Index) {
    const std::string Name = "service-" + std::to_string(Index);
    Add(model::Route{.m_Name = "route-" + std::to_string(Index),
                     .m_PathPrefix = "/api/" + Name,
                     .m_Service = Name});
  }
  for (std::size_t Index = 0; Index < Size.customers(); ++Index) {
    const std::string Name = "customer-" + std::to_string(Index);
    Add(model::Customer{.m_Name = Name, .m_DisplayName = "A customer"});
    Add(model::Rate{.m_Name = Name, .m_PerSecond = 50, .m_Burst = 100});
    for (const char *Which : {"a", "b"})
      Add(model::Key{.m_Name = "key-" + std::to_string(Index) + Which,
                     .m_Customer = Name,
                     .m_Digest = digestOf(keyTextOf(Index) + Which)});
  }
  return Records;
}

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_SITE_H
