#include "demo/CheckList.h"
#include "demo/DemoSite.h"

#include "fmt/format.h"
#include "fmt/ranges.h"

#include <cstdio>
#include <exception>

namespace {

using namespace knapweedloft;

constexpr std::size_t PerService = 2;
constexpr double AnaRate = 200;
constexpr double BrunoRate = 50;
constexpr double BrunoBurst = 50;
constexpr absl::Duration RoundTime = absl::Seconds(3);

std::string shareOf(const caller::CustomerReport &Report) {
  return fmt::format("{} of {} succeeded; refusals: {}", Report.m_Succeeded,
                     Report.m_Calls, Report.m_ByReason);
}

/// One sitting at the site: rounds of traffic with changes between them.
class Demo {
public:
  int run() {
    fmt::print("A site of {} daemons, their targets and a log service\n",
               m_Site.site().size());
    createCustomers();
    showTraffic();
    showRate();
    showWithdrawnKey();
    showWithdrawnDataCenter();
    showReturn();
    showStop();
    fmt::print("demo daemons={} checks={} failed={}\n", m_Site.site().size(),
               m_Checks.checked(), m_Checks.failed());
    return m_Checks.failed() == 0 ? 0 : 1;
  }

private:
  void createCustomers() {
    fmt::print("\nCustomers ana and bruno by `knapweedloft apply`\n");
    m_Site.addRoutes();
    m_Ana = m_Site.addCustomer("ana", AnaRate, AnaRate);
    m_Bruno = m_Site.addCustomer("bruno", BrunoRate, BrunoBurst);
    m_Checks.check(m_Site.awaitServing(m_Ana), "every daemon serves ana", "");
  }

  caller::CallingCustomer ana() const {
    return {.m_Name = "ana", .m_Key = m_Ana, .m_PerSecond = AnaRate / 2};
  }

  caller::CallingCustomer bruno(double PerSecond) const {
    return {.m_Name = "bruno", .m_Key = m_Bruno, .m_PerSecond = PerSecond};
  }

  void checkWhole(const caller::LoadReport &Report) {
    m_Checks.check(Report.m_WrongAnswers == 0,
                   "every answer is whole and the caller's own",
                   fmt::format("{} wrong", Report.m_WrongAnswers));
  }

  void checkAllServed(caller::LoadReport &Report, const std::string &Name) {
    const caller::CustomerReport &Seen = Report.m_Customers[Name];
    m_Checks.check(Seen.m_Succeeded == Seen.m_Calls,
                   Name + " is inside its rate and gets all", shareOf(Seen));
  }

  void showTraffic() {
    fmt::print("\nBoth inside their rates\n");
    auto Report = m_Site.send({ana(), bruno(BrunoRate / 2)}, RoundTime);
    checkAllServed(Report, "ana");
    checkAllServed(Report, "bruno");
    checkWhole(Report);
    fmt::print("        goodput {:.0f}/s, p50 {:.1f} ms, p99 {:.1f} ms\n",
               static_cast<double>(Report.total().m_Succeeded) /
                   absl::ToDoubleSeconds(Report.m_Duration),
               absl::ToDoubleMilliseconds(Report.latency(0.5)),
               absl::ToDoubleMilliseconds(Report.latency(0.99)));
  }

  void showRate() {
    fmt::print("\nBruno sends six times its rate\n");
    auto Report = m_Site.send({ana(), bruno(6 * BrunoRate)}, RoundTime);
    checkAllServed(Report, "ana");
    const caller::CustomerReport &Seen = Report.m_Customers["bruno"];
    const double Most =
        BrunoRate * absl::ToDoubleSeconds(Report.m_Duration) + BrunoBurst;
    m_Checks.check(static_cast<double>(Seen.m_Succeeded) <= Most,
                   fmt::format("bruno gets at most {:.0f}", Most),
                   shareOf(Seen));
    m_Checks.check(Seen.m_Succeeded > 0, "bruno still gets some", "");
    checkWhole(Report);
  }

  void showWithdrawnKey() {
    fmt::print("\nBruno's key is withdrawn\n");
    m_Site.operate("delete", {"keys", "bruno-1", "--until", "in-force"});
    auto Report = m_Site.send({ana(), bruno(BrunoRate / 2)}, RoundTime);
    const caller::CustomerReport &Seen = Report.m_Customers["bruno"];
    m_Checks.check(Seen.m_ByReason.count("bad-key") == 1 &&
                       Seen.m_ByReason.at("bad-key") == Seen.m_Calls,
                   "bruno is refused with bad-key, always", shareOf(Seen));
    m_Checks.check(Seen.m_ByRan.count("no") == 1 &&
                       Seen.m_ByRan.at("no") == Seen.m_Calls,
                   "each refusal says that the request did not run", "");
    checkAllServed(Report, "ana");
  }

  void showWithdrawnDataCenter() {
    fmt::print("\nData center cesis is withdrawn\n");
    m_Site.operate("apply", {"withdrawals", "cesis-out", "scope=data-center",
                             "subject=cesis", "--until", "in-force"});
    const std::uint64_t Before = m_Site.startsIn("cesis");
    auto Report = m_Site.send({ana()}, RoundTime);
    const std::uint64_t After = m_Site.startsIn("cesis");
    m_Checks.check(After == Before, "cesis gets no new work",
                   fmt::format("{} requests", After - Before));
    checkAllServed(Report, "ana");
    checkWhole(Report);
  }

  void showReturn() {
    fmt::print("\nData center cesis returns\n");
    m_Site.operate("delete",
                   {"withdrawals", "cesis-out", "--until", "in-force"});
    const std::uint64_t Before = m_Site.startsIn("cesis");
    auto Report = m_Site.send({ana()}, RoundTime);
    const std::uint64_t After = m_Site.startsIn("cesis");
    m_Checks.check(After > Before, "cesis works again",
                   fmt::format("{} requests", After - Before));
    checkAllServed(Report, "ana");
    const std::uint64_t Seen = m_Site.keysSeen();
    m_Checks.check(Seen == 0, "no target saw a caller's key",
                   fmt::format("{} seen", Seen));
  }

  void showStop() {
    fmt::print("\nPlanned stop\n");
    const std::vector<std::string> Failures = m_Site.site().stopAll();
    m_Checks.check(Failures.empty(), "every daemon and target ends with code 0",
                   fmt::format("{}", fmt::join(Failures, ", ")));
  }

  demo::DemoSite m_Site{PerService};
  demo::CheckList m_Checks;
  std::string m_Ana;
  std::string m_Bruno;
};

} // namespace

int main() {
  try {
    return Demo().run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "error: {}\n", Error.what());
    return 1;
  }
}
