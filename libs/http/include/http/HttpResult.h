#ifndef KNAPWEEDLOFT_HTTP_HTTPRESULT_H
#define KNAPWEEDLOFT_HTTP_HTTPRESULT_H

#include "http/AnswerFault.h"
#include "http/HttpMessage.h"
#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::http {

/// What became of a call.
enum class Failure : std::uint8_t {
  None,    ///< A whole answer: its declared length or its last chunk came.
  NotSent, ///< No connection was made; the server saw nothing.
  /// The connection broke after bytes may have been sent, or was broken off
  /// for an answer with an AnswerFault.
  Cut,
  TooLarge, ///< The answer exceeded the limit.
  TimedOut,
  Cancelled,
};

inline constexpr model::NameTable<Failure, 6> FailureNames{
    {"none", "not-sent", "cut", "too-large", "timed-out", "cancelled"}};

struct HttpResult {
  Failure m_Failure = Failure::None;
  HttpResponse m_Response; ///< Whole if m_Failure is None, else unspecified.
  /// What is wrong with an answer that was Cut for it.
  AnswerFault m_Fault = AnswerFault::None;
  absl::Duration m_Latency;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_HTTPRESULT_H
