#include "Upstream.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace knapweedloft::review3 {
namespace {

constexpr double ReportSeconds = 1.5; ///< heartbeatS of the settings.
constexpr double IdleSeconds = 30;
constexpr double BodySeconds = 20;

} // namespace

Upstream::Upstream(Options Settings, Record &Log)
    : m_Settings(std::move(Settings)), m_Log(Log),
      m_Id("i-" + m_Settings.m_Name), m_Body(m_Settings.m_AnswerBytes, 'x'),
      m_BornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
  m_Server = std::make_unique<Server>(
      m_Settings.m_At, [this](const Socket &Held) { serve(Held); });
  m_Reporter = std::thread([this] { report(); });
}

Upstream::~Upstream() {
  m_IsStopping = true;
  m_Reporter.join();
}

std::optional<Upstream::Run> Upstream::run(const std::string &Id) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return std::nullopt;
  return Found->second;
}

std::string Upstream::loadLine() const {
  return "Server-Load: " + std::to_string(m_Running) + ",0," +
         std::to_string(m_Settings.m_Slots) + "\r\n";
}

void Upstream::serve(const Socket &Held) {
  MessageReader Reader(Held);
  Head Request;
  while (Reader.readHead(Request, IdleSeconds) == ReadEnd::Data) {
    if (Request.path() == "/health") {
      std::string Line = m_IsLeaving && !m_IsLying
                             ? "HTTP/1.1 503 Service Unavailable\r\n"
                             : "HTTP/1.1 200 OK\r\n";
      if (!Held.send(Line + "Instance-Id: " + m_Id + "\r\n" + loadLine() +
                     "Content-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    if (Reader.readBody(Request.m_BodyBytes, nullptr, BodySeconds) !=
        ReadEnd::Data)
      return;
    if (!execute(Held, Request, steadySeconds()))
      return;
  }
}

bool Upstream::waitFor(const Socket &Held, double Until) {
  while (true) {
    double Left = Until - steadySeconds();
    if (Left <= 0)
      return true;
    pollfd Poll{.fd = Held.fd(), .events = POLLRDHUP, .revents = 0};
    if (::poll(&Poll, 1, static_cast<int>(std::max(1.0, Left * 1000))) > 0)
      return false;
  }
}

bool Upstream::execute(const Socket &Held, const Head &Request, double Began) {
  std::string Id = Request.field("Attempt-Id");
  std::string Expected = Request.field("Expected-Instance");
  std::string Named = "Attempt-Id: " + Id + "\r\n" + loadLine();
  if (!Expected.empty() && Expected != m_Id)
    return Held.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                     m_Id + "\r\n" + Named + "Content-Length: 0\r\n\r\n");
  if (m_Running >= m_Settings.m_Slots)
    return Held.send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" +
                     Named + "Content-Length: 0\r\n\r\n");
  double DeadlineS =
      std::strtod(Request.field("Deadline-Ms").c_str(), nullptr) / 1000;
  double WorkS = m_Settings.m_WorkSeconds * m_Slowness;
  ++m_Running;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Run &Known = m_Runs[Id];
    Known.m_Began = m_Log.now();
    Known.m_BodyBytes = Request.m_BodyBytes;
    ++Known.m_Times;
  }
  m_Log.line("run id=" + Id + " at=" + m_Settings.m_Name +
             " bytes=" + std::to_string(Request.m_BodyBytes));
  bool IsInTime = WorkS <= DeadlineS;
  bool IsFailing = m_IsLying;
  bool IsOpen = waitFor(Held, Began + std::min(WorkS, DeadlineS));
  --m_Running;
  if (!IsOpen) {
    m_Log.line("dropped id=" + Id + " at=" + m_Settings.m_Name +
               " cause=connection-closed");
    return false;
  }
  std::string Answer = IsFailing  ? "HTTP/1.1 500 Internal Server Error\r\n"
                       : IsInTime ? "HTTP/1.1 200 OK\r\n"
                                  : "HTTP/1.1 504 Gateway Timeout\r\n";
  std::size_t Bytes = IsInTime && !IsFailing ? m_Body.size() : 0;
  Answer += Named + "Response-Signature: " + m_Id + "." + Id +
            "\r\nContent-Length: " + std::to_string(Bytes) + "\r\n\r\n";
  bool IsSent =
      Held.send(Answer) && Held.send(std::string_view(m_Body).substr(0, Bytes));
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (IsSent)
    m_Runs[Id].m_Ended = m_Log.now();
  return IsSent;
}

bool Upstream::leave() {
  m_IsLeaving = true;
  Socket Control = Socket::connectTo(m_Settings.m_Control);
  if (!Control.isValid() ||
      !Control.send("DELETE /v1/instances/" + m_Id + " HTTP/1.1\r\nHost: " +
                    m_Settings.m_Control.m_Address + "\r\n\r\n"))
    return false;
  MessageReader Reader(Control);
  Head Answer;
  return Reader.readHead(Answer, 1) == ReadEnd::Data &&
         Answer.status() / 100 == 2;
}

void Upstream::report() {
  for (int Sequence = 1; !m_IsStopping && !m_IsLeaving; ++Sequence) {
    std::string Body = "{\"address\":\"" + textOf(m_Settings.m_At) +
                       "\",\"born\":" + std::to_string(m_BornMs) +
                       ",\"info\":{\"service\":\"" + m_Settings.m_Service +
                       "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":" +
                       std::to_string(m_Settings.m_Slots) +
                       "},\"status\":{\"state\":\"ready\",\"sequence\":" +
                       std::to_string(Sequence) + ",\"coldRemainingS\":0}}";
    Socket Control = Socket::connectTo(m_Settings.m_Control);
    bool IsAccepted = false;
    if (Control.isValid() &&
        Control.send("PUT /v1/instances/" + m_Id +
                     " HTTP/1.1\r\nHost: " + m_Settings.m_Control.m_Address +
                     "\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body)) {
      MessageReader Reader(Control);
      Head Answer;
      IsAccepted = Reader.readHead(Answer, 1) == ReadEnd::Data &&
                   Answer.status() / 100 == 2;
    }
    double Until =
        steadySeconds() + (IsAccepted ? ReportSeconds : ReportSeconds / 5);
    while (!m_IsStopping && !m_IsLeaving && steadySeconds() < Until)
      sleepSeconds(0.02);
  }
}

} // namespace knapweedloft::review3
