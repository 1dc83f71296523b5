#ifndef KNAPWEEDLOFT_FAULTS_TRIAL_H
#define KNAPWEEDLOFT_FAULTS_TRIAL_H

#include "CustomerRates.h"
#include "FaultCase.h"
#include "Ideal.h"
#include "Meter.h"
#include "Site.h"
#include "Work.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace knapweedloft::faults {

/// The headline figures of one trial.
struct TrialResult {
  double m_Goodput = 0;  ///< Share of the ideal, in and after the faults.
  double m_Recovery = 0; ///< Seconds, of the slower round.
  double m_WorstServed = 0;
  double m_WronglyRefused = 0;  ///< In 10,000.
  double m_RefusedOverRate = 0; ///< In 10,000; of the wrongly refused.
  std::uint64_t m_Falls = 0;    ///< Cold targets that were overrun.
  double m_Forwards = 0;        ///< For each request offered.
};

/// One fault case on one deployment. Callers resend without pause: each
/// request is sent again 50 to 150 ms after a failure until it is 4 s old.
class Trial {
public:
  Trial(const Deployment &Spec, FaultCase Case, const Mechanisms &InUse,
        std::uint64_t Seed);

  /// Prints goodput and the load of each target every second.
  void setTraced() { m_IsTraced = true; }

  [[nodiscard]] TrialResult run();

private:
  /// A request as its caller sees it.
  struct Logical {
    std::size_t m_Route = 0;
    std::uint32_t m_Customer = 0;
    absl::Time m_GiveUp;
    bool m_IsEntitled = false;
    bool m_IsFirst = true;
  };

  void scheduleFaults(absl::Time Start);
  void beginFault();
  void endFault();
  void arrive(std::size_t Route, std::uint32_t Customer);
  void send(const std::shared_ptr<Logical> &Own);
  void onEnd(const std::shared_ptr<Logical> &Own, const Ending &End);
  void measureIdeal();
  void trace();
  /// \returns whether the rate of the customer refuses the request.
  [[nodiscard]] bool refuseOverRate(const std::shared_ptr<Logical> &Own);
  [[nodiscard]] double demandOf(std::size_t Route,
                                std::uint32_t Customer) const;

  FaultCase m_Case;
  Site m_Site;
  CustomerRates m_Rates;
  absl::Duration m_Length;
  Meter m_Meter;
  double m_Load = 1;
  double m_Greed = 1;
  double m_Slowdown = 1;
  bool m_IsLying = false;
  bool m_IsTraced = false;
  std::vector<absl::Time> m_FeasibleSince; ///< By route.
  std::uint64_t m_Offered = 0;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_TRIAL_H
