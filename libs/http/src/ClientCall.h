#ifndef KNAPWEEDLOFT_HTTP_CLIENTCALL_H
#define KNAPWEEDLOFT_HTTP_CLIENTCALL_H

#include "ChunkedBody.h"
#include "ClientSockets.h"
#include "ResponseHead.h"
#include "http/HttpClient.h"

#include <curl/curl.h>

#include <string>
#include <utility>

namespace knapweedloft::http {

/// One call on a libcurl easy handle. Reused for later calls, so that the
/// handle and its fixed options are set up once.
///
/// libcurl sends a request anew by itself if a kept connection breaks before
/// anything of the answer came; the server may have run it by then. The hook
/// before each sending allows the first one only.
class ClientCall {
public:
  /// \p HeldBytes: of the bodies of all calls, counted along.
  ClientCall(std::size_t MaxBodyBytes, std::size_t &HeldBytes,
             ClientSockets &Sockets);
  ~ClientCall();
  ClientCall(const ClientCall &) = delete;
  ClientCall &operator=(const ClientCall &) = delete;

  /// Prepares the handle for a call. \returns false if the request holds
  /// characters that would break its framing.
  bool prepare(HttpClient::CallId Id, const std::string &Base,
               HttpRequest Request, absl::Duration Timeout,
               HttpClient::Done OnDone, absl::Time Now);

  /// Ends the call: hands its result to the callback and forgets the call.
  void finish(Failure What, absl::Time Now);

  /// Judges the transfer's result. \returns what it means for the caller.
  Failure judge(CURLcode Code);

  /// \returns, once, whether the call was not sent since its kept connection
  /// held bytes that belong to no answer. It may be sent on another.
  [[nodiscard]] bool takeStale() { return std::exchange(m_IsStale, false); }

  [[nodiscard]] HttpClient::CallId id() const { return m_Id; }
  [[nodiscard]] CURL *handle() const { return m_Handle; }
  [[nodiscard]] std::size_t heldBytes() const {
    return m_Response.m_Body.size();
  }

private:
  static std::size_t onBody(char *Data, std::size_t, std::size_t Size,
                            void *Self);
  static std::size_t onHeader(char *Data, std::size_t, std::size_t Size,
                              void *Self);
  static int onSend(void *Self, char *, char *, int, int);

  void setFixedOptions();
  void setMethod();
  void setHeaders();
  bool readHead(std::string_view Bytes);
  bool readBody(std::string_view Bytes);
  bool appendBody(std::string_view Part);
  [[nodiscard]] bool isWhole() const;

  const std::size_t m_MaxBodyBytes;
  std::size_t &m_HeldBytes;
  ClientSockets &m_Sockets;
  CURL *m_Handle;
  curl_slist *m_HeaderLines = nullptr;
  HttpClient::CallId m_Id = 0;
  HttpRequest m_Request;
  HttpResponse m_Response;
  HttpClient::Done m_OnDone;
  absl::Time m_Started;
  ResponseHead m_Head;
  ChunkedBody m_Chunks;
  AnswerFault m_Fault = AnswerFault::None;
  std::size_t m_HeaderBytes = 0;
  bool m_HasSent = false;
  bool m_IsStale = false;
  bool m_IsTooLarge = false;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CLIENTCALL_H
