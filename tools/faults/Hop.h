#ifndef KNAPWEEDLOFT_FAULTS_HOP_H
#define KNAPWEEDLOFT_FAULTS_HOP_H

#include "Edge.h"
#include "FakeTarget.h"
#include "Site.h"
#include "Work.h"

#include "policy/Admission.h"
#include "policy/DownstreamGuard.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace knapweedloft::faults {

/// One daemon with its target, in virtual time: the policy classes wired as in
/// a daemon, without its I/O.
class Hop {
public:
  using Done = std::function<void(const Ending &)>;

  Hop(Site &Shared, std::size_t Index, std::size_t Service,
      std::size_t DataCenter);
  ~Hop();

  /// Makes the edges to all services; once all hops exist.
  void connect();

  /// Takes a request at the entry side. \p Then is called once.
  /// \returns a way to give it up, after which nothing is called.
  std::function<void()> submit(const Work &Request, Done Then);

  [[nodiscard]] std::size_t dataCenter() const { return m_DataCenter; }
  [[nodiscard]] std::size_t service() const { return m_Service; }
  [[nodiscard]] FakeTarget &target() { return m_Target; }
  [[nodiscard]] const policy::Admission &admission() const { return m_Gate; }

private:
  struct Call; ///< A request at the entry side, over its attempts.
  /// A forward at the target side.
  struct Forward {
    Work m_Work;
    absl::Time m_Began;
    bool m_IsRunning = false;
    bool m_IsRefusedBelow = false;
    std::function<void()> m_GiveUpBelow;
    std::function<void(const Ending &, const policy::TargetFeedback &)>
        m_Answer;
  };

  [[nodiscard]] bool has(Mechanism One) const;
  [[nodiscard]] const StepSpec &stepOf(const Work &Request) const;
  [[nodiscard]] model::Priority priorityOf(const Work &Request) const;

  // Entry side.
  [[nodiscard]] bool refuseEarly(Call &Own);
  void attempt(const std::shared_ptr<Call> &Own);
  void onAnswer(const std::shared_ptr<Call> &Own, policy::TargetHandle To,
                const Ending &End, const policy::TargetFeedback &Load);
  void onFailed(const std::shared_ptr<Call> &Own, const Ending &End);
  void expire(const std::shared_ptr<Call> &Own);
  void close(Call &Own, const Ending &End);
  void abandon(Call &Own);

  // Target side.
  void receive(std::uint64_t Id, Forward Request);
  void cancel(std::uint64_t Id);
  void run(std::uint64_t Id);
  void runBelow(std::uint64_t Id,
                const std::function<void(policy::RunOutcome)> &Then);
  void onRun(std::uint64_t Id, policy::RunOutcome Outcome);
  void answer(std::uint64_t Id, const Ending &End);
  void pump();

  Site &m_Site;
  std::size_t m_Index;
  std::size_t m_Service;
  std::size_t m_DataCenter;
  FakeTarget m_Target;
  policy::Admission m_Gate;
  std::vector<std::unique_ptr<Edge>> m_Edges;    ///< By service.
  std::vector<policy::DownstreamGuard> m_Guards; ///< By route.
  absl::flat_hash_map<std::uint64_t, Forward> m_Forwards;
  absl::Time m_PumpAt = absl::InfiniteFuture();
  std::vector<policy::TicketId> m_Run;
  std::vector<policy::AdmissionRefusal> m_Refused;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_HOP_H
