#ifndef KNAPWEEDLOFT_FAULTS_METER_H
#define KNAPWEEDLOFT_FAULTS_METER_H

#include "Deployment.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::faults {

/// Counts, in buckets of 100 ms, what was offered, ideal and served.
class Meter {
public:
  static constexpr absl::Duration Bucket = absl::Milliseconds(100);

  Meter(std::size_t Routes, std::size_t Customers, absl::Duration Length);

  void onOffered(std::size_t Route, std::size_t Customer, absl::Time Now);
  void onServed(std::size_t Route, std::size_t Customer, absl::Time Now);
  /// The first attempt of a request was refused though it need not have been.
  void onWronglyRefused() { ++m_WronglyRefused; }
  /// It was refused because resends had spent the rate of its customer.
  void onRefusedOverRate() { ++m_RefusedOverRate; }
  void onEntitledRequest() { ++m_Entitled; }
  /// Sets the ideal rates of the routes in the bucket of \p Now.
  void setIdeal(const std::vector<double> &Rates, absl::Time Now);

  /// \returns served by ideal between two times.
  [[nodiscard]] double goodput(absl::Time From, absl::Time Until) const;
  /// \returns the time from \p From until one second's goodput is 95%.
  [[nodiscard]] absl::Duration recovery(absl::Time From,
                                        absl::Time Until) const;
  /// \returns the least share of what a customer was entitled to: what it
  /// offered, but no more than its share of the ideal.
  [[nodiscard]] double worstServed(const Deployment &Site, absl::Time From,
                                   absl::Time Until) const;
  [[nodiscard]] double wronglyRefused() const;
  [[nodiscard]] double refusedOverRate() const;
  /// \returns served/ideal of each route, for the trace.
  [[nodiscard]] std::string byRoute(absl::Time From, absl::Time Until) const;

private:
  [[nodiscard]] std::size_t bucketOf(absl::Time Now) const;
  [[nodiscard]] double &cell(std::vector<double> &Cells, std::size_t Index,
                             std::size_t Route, std::size_t Customer) const;

  std::size_t m_Routes;
  std::size_t m_Customers;
  std::size_t m_Buckets;
  std::vector<double> m_Offered; ///< By bucket, route, customer.
  std::vector<double> m_Served;  ///< By bucket, route, customer.
  std::vector<double> m_Ideal;   ///< By bucket, route.
  std::uint64_t m_WronglyRefused = 0;
  std::uint64_t m_RefusedOverRate = 0; ///< Of the wrongly refused.
  std::uint64_t m_Entitled = 0;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_METER_H
