#ifndef KNAPWEEDLOFT_APP_APPLIEDREPORTER_H
#define KNAPWEEDLOFT_APP_APPLIEDREPORTER_H

#include "app/AppliedSummary.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// Sums up what the daemons below this one apply, and what the fleet does.
class AppliedReporter {
public:
  AppliedReporter(std::size_t MaxNamed, absl::Duration KeptFor)
      : m_MaxNamed(MaxNamed), m_KeptFor(KeptFor) {}

  /// An empty sum says that \p Name reports elsewhere from now on.
  void onChild(const std::string &Name, AppliedSummary Sum, absl::Time Now);
  void onSite(const std::string &DataCenter, AppliedSummary Sum,
              absl::Time Now);
  void onFleet(AppliedSummary Sum, absl::Time Now);

  /// \returns the sum of this daemon and all below it.
  [[nodiscard]] AppliedSummary subtree(const AppliedOffset &Own,
                                       absl::Time Now);

  /// \returns the sum of the fleet: of the parent's word if there is one, else
  /// of the subtree and the other data centers.
  [[nodiscard]] AppliedSummary fleet(const AppliedOffset &Own, bool IsHead,
                                     absl::Time Now);

  [[nodiscard]] std::vector<std::string> children() const;

private:
  struct Dated {
    AppliedSummary m_Sum;
    absl::Time m_At = absl::InfinitePast();
  };
  using Dateds = absl::flat_hash_map<std::string, Dated>;

  void merge(AppliedSummary &Into, Dateds &From, absl::Time Now);

  std::size_t m_MaxNamed;
  absl::Duration m_KeptFor;
  Dateds m_Children;
  Dateds m_Sites;
  Dated m_Fleet;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APPLIEDREPORTER_H
