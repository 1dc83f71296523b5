#include "Meter.h"

#include "fmt/format.h"

#include <algorithm>

namespace knapweedloft::faults {
namespace {

constexpr double Recovered = 0.95;
constexpr absl::Duration RecoveryWindow = absl::Seconds(1);
constexpr double PerTenThousand = 10000;

} // namespace

Meter::Meter(std::size_t Routes, std::size_t Customers, absl::Duration Length)
    : m_Routes(Routes), m_Customers(Customers),
      m_Buckets(static_cast<std::size_t>(absl::FDivDuration(Length, Bucket)) +
                1),
      m_Offered(m_Buckets * Routes * Customers),
      m_Served(m_Buckets * Routes * Customers), m_Ideal(m_Buckets * Routes) {}

std::size_t Meter::bucketOf(absl::Time Now) const {
  double Index = absl::FDivDuration(Now - absl::UnixEpoch(), Bucket);
  return std::min(static_cast<std::size_t>(std::max(0.0, Index + 1e-6)),
                  m_Buckets - 1);
}

double &Meter::cell(std::vector<double> &Cells, std::size_t Index,
                    std::size_t Route, std::size_t Customer) const {
  return Cells[(Index * m_Routes + Route) * m_Customers + Customer];
}

void Meter::onOffered(std::size_t Route, std::size_t Customer, absl::Time Now) {
  cell(m_Offered, bucketOf(Now), Route, Customer) += 1;
}

void Meter::onServed(std::size_t Route, std::size_t Customer, absl::Time Now) {
  cell(m_Served, bucketOf(Now), Route, Customer) += 1;
}

void Meter::setIdeal(const std::vector<double> &Rates, absl::Time Now) {
  double Seconds = absl::ToDoubleSeconds(Bucket);
  for (std::size_t Route = 0; Route < m_Routes; ++Route)
    m_Ideal[bucketOf(Now) * m_Routes + Route] = Rates[Route] * Seconds;
}

double Meter::goodput(absl::Time From, absl::Time Until) const {
  double Served = 0;
  double Ideal = 0;
  for (std::size_t Index = bucketOf(From); Index < bucketOf(Until); ++Index) {
    for (std::size_t Cell = 0; Cell < m_Routes * m_Customers; ++Cell)
      Served += m_Served[Index * m_Routes * m_Customers + Cell];
    for (std::size_t Route = 0; Route < m_Routes; ++Route)
      Ideal += m_Ideal[Index * m_Routes + Route];
  }
  return Ideal > 0 ? Served / Ideal : 1;
}

absl::Duration Meter::recovery(absl::Time From, absl::Time Until) const {
  for (absl::Time Start = From; Start + RecoveryWindow <= Until;
       Start += Bucket)
    if (goodput(Start, Start + RecoveryWindow) >= Recovered)
      return Start - From;
  return absl::InfiniteDuration();
}

double Meter::worstServed(const Deployment &Site, absl::Time From,
                          absl::Time Until) const {
  double Worst = 1e9;
  for (std::size_t Customer = 0; Customer < m_Customers; ++Customer) {
    double Served = 0;
    double Entitled = 0;
    for (std::size_t Route = 0; Route < m_Routes; ++Route) {
      double Offered = 0;
      double Share = 0;
      for (std::size_t Index = bucketOf(From); Index < bucketOf(Until);
           ++Index) {
        std::size_t Cell = (Index * m_Routes + Route) * m_Customers + Customer;
        Served += m_Served[Cell];
        Offered += m_Offered[Cell];
        Share += m_Ideal[Index * m_Routes + Route] * Site.m_Customers[Customer];
      }
      Entitled += std::min(Offered, Share);
    }
    if (Entitled > 0)
      Worst = std::min(Worst, Served / Entitled);
  }
  return Worst;
}

std::string Meter::byRoute(absl::Time From, absl::Time Until) const {
  std::string Text;
  for (std::size_t Route = 0; Route < m_Routes; ++Route) {
    double Served = 0;
    double Ideal = 0;
    for (std::size_t Index = bucketOf(From); Index < bucketOf(Until); ++Index) {
      Ideal += m_Ideal[Index * m_Routes + Route];
      for (std::size_t Customer = 0; Customer < m_Customers; ++Customer)
        Served += m_Served[(Index * m_Routes + Route) * m_Customers + Customer];
    }
    Text += fmt::format("{:.0f}/{:.0f} ", Served, Ideal);
  }
  return Text;
}

double Meter::wronglyRefused() const {
  if (m_Entitled == 0)
    return 0;
  return PerTenThousand * static_cast<double>(m_WronglyRefused) /
         static_cast<double>(m_Entitled);
}

double Meter::refusedOverRate() const {
  if (m_Entitled == 0)
    return 0;
  return PerTenThousand * static_cast<double>(m_RefusedOverRate) /
         static_cast<double>(m_Entitled);
}

} // namespace knapweedloft::faults
