#ifndef KNAPWEEDLOFT_FAULTS_CUSTOMERRATES_H
#define KNAPWEEDLOFT_FAULTS_CUSTOMERRATES_H

#include "Deployment.h"

#include "policy/TokenBucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace knapweedloft::faults {

/// The rates of the customers over the whole fleet. Every send of a caller
/// takes a token, a resend too.
class CustomerRates {
public:
  /// \param PlannedLoad the largest load that customers may offer; the rate of
  /// a customer is what it sends at this load.
  CustomerRates(const Deployment &Spec, double PlannedLoad, absl::Time Now);

  /// \returns whether the customer may send now; takes a token if so.
  [[nodiscard]] bool admit(std::uint32_t Customer, absl::Time Now);

  /// Counts a first attempt.
  /// \returns whether the first attempts of the customer, resends left out,
  /// are inside its rate.
  [[nodiscard]] bool isFirstInRate(std::uint32_t Customer, absl::Time Now);

private:
  std::vector<policy::TokenBucket> m_Sends;
  std::vector<policy::TokenBucket> m_Firsts;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_CUSTOMERRATES_H
