#include "Callers.h"

namespace knapweedloft::review3 {
namespace {

constexpr double PauseSeconds = 0.3; ///< Of a reader that was refused.
constexpr int ReadDeadlineMs = 2500;
constexpr std::size_t PieceBytes = std::size_t{256} << 10;

bool sendBody(const Socket &To, std::size_t Bytes) {
  static const std::string Piece(PieceBytes, 'u');
  for (; Bytes > PieceBytes; Bytes -= PieceBytes)
    if (!To.send(Piece))
      return false;
  return To.send(std::string_view(Piece).substr(0, Bytes));
}

} // namespace

std::string CallerCounts::summary() const {
  return "uploads=" + std::to_string(m_Uploads) +
         " served=" + std::to_string(m_UploadsServed) +
         " refused=" + std::to_string(m_UploadsRefused) +
         " unknown=" + std::to_string(m_UploadsUnknown) +
         " reads=" + std::to_string(m_Reads) + " cut=" + std::to_string(m_Cut);
}

void upload(const Daemon &Entry, const std::string &Service,
            const std::string &Id, std::size_t Bytes, int DeadlineMs,
            CallerCounts &All, Record &Log) {
  Socket Caller = Socket::connectTo(Entry.callers());
  ++All.m_Uploads;
  Log.line("upload id=" + Id + " to=" + Entry.options().m_Name);
  bool IsSent =
      Caller.isValid() &&
      Caller.send(requestHead("POST", Service, Id, DeadlineMs, Bytes)) &&
      sendBody(Caller, Bytes);
  MessageReader Reader(Caller);
  Head Answer;
  ReadEnd End = Caller.isValid()
                    ? Reader.readHead(Answer, DeadlineMs / 1000.0 + 1)
                    : ReadEnd::Broken;
  int Status = End == ReadEnd::Data ? Answer.status() : 0;
  All.m_UploadsServed += Status == 200 ? 1 : 0;
  All.m_UploadsRefused += Status == 503 || Status == 429 ? 1 : 0;
  All.m_UploadsUnknown += Status == 502 || Status == 504 || Status == 0 ? 1 : 0;
  Log.line("answered id=" + Id + " status=" + std::to_string(Status) +
           (IsSent ? "" : " not all sent"));
}

void readOften(Site &Deployment, const Daemon &Entry,
               const std::string &Service, const std::string &Name,
               CallerCounts &All, Record &Log) {
  int Number = 0;
  while (!All.m_IsStopping) {
    Socket Caller = Socket::connectTo(Entry.callers());
    if (!Caller.isValid()) {
      sleepSeconds(PauseSeconds);
      continue;
    }
    MessageReader Reader(Caller);
    bool IsKept = false; // It has brought an answer.
    while (!All.m_IsStopping) {
      std::string Id = Name + "-" + std::to_string(++Number);
      ++All.m_Reads;
      Head Answer;
      ReadEnd End = ReadEnd::Broken;
      if (Caller.send(requestHead("GET", Service, Id, ReadDeadlineMs, 0)))
        End = Reader.readHead(Answer, 3);
      if (End == ReadEnd::Data)
        End = Reader.readBody(Answer.m_BodyBytes, nullptr, 3);
      bool IsEnd = End != ReadEnd::Data;
      if (IsEnd && IsKept && End != ReadEnd::TimedOut && !Reader.hasBytes() &&
          Deployment.run(Id)) {
        ++All.m_Cut;
        Log.line("cut id=" + Id + " at=" + Entry.options().m_Name +
                 " passed on and closed without an answer");
      }
      if (IsEnd || Answer.field("Connection") == "close")
        break;
      IsKept = true;
      if (Answer.status() != 200)
        sleepSeconds(PauseSeconds);
    }
  }
}

} // namespace knapweedloft::review3
