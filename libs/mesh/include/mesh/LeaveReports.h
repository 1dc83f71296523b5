#ifndef KNAPWEEDLOFT_MESH_LEAVEREPORTS_H
#define KNAPWEEDLOFT_MESH_LEAVEREPORTS_H

#include "mesh/ComponentLog.h"
#include "policy/TargetChooser.h"

#include "absl/container/btree_map.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

/// Counts and logs which requests leave the own data center, by service.
class LeaveReports {
public:
  struct Counts {
    std::uint64_t m_Stayed = 0;    ///< Requests sent to an own target.
    std::uint64_t m_Left = 0;      ///< Sent to another data center.
    std::uint64_t m_LeftBytes = 0; ///< Of answered ones, with the answers.
    double m_Share = 0; ///< That leaves by decision; 0 where nothing decides.
    double m_LoggedShare = 0;
  };

  explicit LeaveReports(ComponentLog Log) : m_Log(Log) {}

  void onSent(const std::string &Service, bool IsLeaving);
  void onAnswered(const std::string &Service, bool HasLeft, std::size_t Bytes);
  /// Logs the share if it has changed by more than a step.
  void onDecision(const std::string &Service,
                  const policy::TargetChooser::Leaving &Decided);

  [[nodiscard]] const absl::btree_map<std::string, Counts> &byService() const {
    return m_ByService;
  }

private:
  ComponentLog m_Log;
  absl::btree_map<std::string, Counts> m_ByService;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_LEAVEREPORTS_H
