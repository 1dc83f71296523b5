#include "soak/Soak.h"

#include "adapter/WireNames.h"
#include "io/MonotonicClock.h"

#include "fmt/format.h"

#include <csignal>

namespace knapweedloft::soak {
namespace {

/// In the last part of the calm most requests must succeed.
constexpr absl::Duration EndSpan = absl::Seconds(3);
constexpr double LeastEndPart = 0.9;
constexpr PromiseChecker::Rate SmallRate{.m_PerSecond = 20, .m_Burst = 20};

mesh::Catalog firstCatalog() {
  mesh::Catalog Made;
  Made.m_Version = 1;
  auto Route = [](const std::string &Name, const std::string &Service,
                  bool IsIdempotent) {
    return mesh::CatalogRoute{.m_Name = Name,
                              .m_Host = "site",
                              .m_PathPrefix = "/" + Name + "/",
                              .m_WeightedServices = {{Service, 1}},
                              .m_IsIdempotent = IsIdempotent,
                              .m_MaxTargets = 2,
                              .m_Timeout = absl::Seconds(3)};
  };
  Made.m_Routes = {Route("reads", "archive", true),
                   Route("orders", "archive", false),
                   Route("lookups", "stock", true)};
  Made.m_Services = {{.m_Name = "archive", .m_HealthPath = "/health"},
                     {.m_Name = "stock", .m_HealthPath = "/health"}};
  Made.m_Customers = {{.m_Name = "acme", .m_Keys = {"acme-key"}},
                      {.m_Name = "small",
                       .m_Keys = {"small-key"},
                       .m_PerSecond = SmallRate.m_PerSecond,
                       .m_Burst = SmallRate.m_Burst}};
  return Made;
}

} // namespace

Soak::Soak(const SoakOptions &Settings,
           std::function<void(const std::string &)> Print)
    : m_Settings(Settings), m_Print(std::move(Print)),
      m_Random(Settings.m_Seed), m_Started(io::monotonicNow()),
      m_Checker([this](const std::string &Line) {
        m_Print(fmt::format(
            "seed={} t={:.3f} breach: {}", m_Settings.m_Seed,
            absl::ToDoubleSeconds(io::monotonicNow() - m_Started), Line));
      }),
      m_Names(adapter::platformHeaderNames()), m_Catalog(firstCatalog()),
      m_Callers(m_Loop, {.m_MaxIdle = 16}) {
  std::signal(SIGPIPE, SIG_IGN);
  m_Checker.setRate("small", SmallRate);
  for (std::size_t Index = 1; Index <= m_Settings.m_Vms; ++Index)
    m_Vms.push_back(std::make_unique<SoakVm>(
        m_Loop, m_Settings, Index, Index % 5 < 3 ? "archive" : "stock", m_Store,
        m_Checker));
  m_Store.m_OnAppend = [this] {
    for (auto &Vm : m_Vms)
      Vm->store().onAppend();
  };
}

Soak::~Soak() = default;

Soak::Figures Soak::run() {
  absl::Time Now = io::monotonicNow();
  configure(Now);
  for (auto &Vm : m_Vms) {
    Vm->startDaemon(Now);
    Vm->target().start();
  }
  // Traffic begins once the targets have reported themselves.
  constexpr absl::Duration Beginning = absl::Seconds(2);
  for (std::size_t Index = 0; Index < m_Vms.size(); ++Index)
    later(Beginning, [this, Index] { callLater(Index); });
  later(Beginning, [this] { faultLater(); });
  later(Beginning, [this] { probe(); });
  watch();
  copyStore();
  absl::Duration Calm = Beginning + m_Settings.m_Length;
  later(Calm, [this] { heal(); });
  absl::Duration End = Calm + m_Settings.m_Calm;
  later(End - EndSpan, [this] { m_CountsFrom = io::monotonicNow(); });
  // Whoever still waits then has its time to end.
  later(End + absl::Seconds(4), [this] { m_Loop.stop(); });
  m_Loop.run();
  Figures Seen{.m_Sent = m_LastCall,
               .m_Answered = m_Checker.answered(),
               .m_Succeeded = m_Checker.succeeded(),
               .m_Runs = m_Checker.runs(),
               .m_Faults = m_Faults};
  Seen.m_EndPart = m_EndSent == 0 ? 0
                                  : static_cast<double>(m_EndSucceeded) /
                                        static_cast<double>(m_EndSent);
  if (m_Settings.m_ChecksTimes && Seen.m_EndPart < LeastEndPart)
    m_Checker.breach(
        fmt::format("after the faults only {:.3f} succeed", Seen.m_EndPart));
  Seen.m_Breaches = m_Checker.breaches();
  return Seen;
}

void Soak::later(absl::Duration After, std::function<void()> Task) {
  m_Loop.post(std::move(Task), After);
}

double Soak::draw(double From, double To) {
  return std::uniform_real_distribution<double>(From, To)(m_Random);
}

absl::Duration Soak::drawTime(double From, double To) {
  return absl::Seconds(draw(From, To));
}

void Soak::tell(const std::string &Line) {
  if (m_Settings.m_IsTold)
    m_Print(fmt::format("t={:.3f} {}",
                        absl::ToDoubleSeconds(io::monotonicNow() - m_Started),
                        Line));
}

} // namespace knapweedloft::soak
