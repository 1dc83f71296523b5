#include "logservice/LogServer.h"

#include "platform/OffsetExpired.h"
#include "platform/PlatformError.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <stdexcept>
#include <utility>

namespace knapweedloft::logservice {
namespace {

using Json = nlohmann::json;
using platform::PlatformErrorKind;

constexpr unsigned StatusNoSpace = 507;
constexpr std::size_t DefaultMaxRecords = 1024;
constexpr std::string_view StreamsPrefix = "/streams/";
constexpr std::string_view ExpirePrefix = "/expire/";

struct Reply {
  unsigned m_Status = MHD_HTTP_OK;
  std::string m_Body = "{}";
};

/// One request while its body arrives.
struct Call {
  MHD_Connection *m_Connection;
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
};

std::uint64_t queryNumber(const Call &Request, const char *Name,
                          std::uint64_t Default) {
  const char *Text = MHD_lookup_connection_value(Request.m_Connection,
                                                 MHD_GET_ARGUMENT_KIND, Name);
  std::uint64_t Value = Default;
  if (Text != nullptr && !absl::SimpleAtoi(Text, &Value))
    throw std::invalid_argument(fmt::format("{} is not a number", Name));
  return Value;
}

Reply replyOf(const platform::LogRead &Read) {
  Json Records = Json::array();
  for (const platform::LogRecord &Each : Read.m_Records)
    Records.push_back({{"offset", Each.m_Offset},
                       {"payload", absl::Base64Escape(Each.m_Payload)}});
  const Json Body = {{"first", Read.m_First},
                     {"end", Read.m_End},
                     {"records", std::move(Records)}};
  return {.m_Body = Body.dump()};
}

unsigned statusOf(PlatformErrorKind Kind) {
  return Kind == PlatformErrorKind::NoSpace ? StatusNoSpace
                                            : MHD_HTTP_SERVICE_UNAVAILABLE;
}

} // namespace

class LogServer::Impl {
public:
  Impl(LogStore &Store, const Options &Settings) : m_Store(Store) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Settings.m_Port);
    if (inet_pton(AF_INET, Settings.m_Address.c_str(), &Address.sin_addr) != 1)
      throw std::runtime_error("the address is not an IPv4 number");
    m_Daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
        Settings.m_Port, nullptr, nullptr, &Impl::onAccess, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&Address),
        MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, nullptr,
        MHD_OPTION_END);
    if (m_Daemon == nullptr)
      throw std::runtime_error("the log service cannot listen");
  }

  ~Impl() {
    m_Store.close();
    MHD_stop_daemon(m_Daemon);
  }

  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  std::uint16_t port() const {
    return MHD_get_daemon_info(m_Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  }

private:
  static MHD_Result onAccess(void *Context, MHD_Connection *Connection,
                             const char *Path, const char *Method, const char *,
                             const char *Body, size_t *BodyBytes,
                             void **RequestContext) {
    if (*RequestContext == nullptr) {
      *RequestContext = new Call{Connection, Method, Path, ""};
      return MHD_YES;
    }
    auto *Request = static_cast<Call *>(*RequestContext);
    if (*BodyBytes > 0) {
      Request->m_Body.append(Body, *BodyBytes);
      *BodyBytes = 0;
      return MHD_YES;
    }
    return static_cast<Impl *>(Context)->finish(*Request);
  }

  static void onCompleted(void *, MHD_Connection *, void **RequestContext,
                          MHD_RequestTerminationCode) {
    delete static_cast<Call *>(*RequestContext);
    *RequestContext = nullptr;
  }

  /// Without a reply the connection is closed.
  MHD_Result finish(const Call &Request) {
    const std::optional<Reply> Answer = safelyHandle(Request);
    if (!Answer)
      return MHD_NO;
    MHD_Response *Response = MHD_create_response_from_buffer(
        Answer->m_Body.size(), const_cast<char *>(Answer->m_Body.data()),
        MHD_RESPMEM_MUST_COPY);
    const MHD_Result Queued =
        MHD_queue_response(Request.m_Connection, Answer->m_Status, Response);
    MHD_destroy_response(Response);
    return Queued;
  }

  std::optional<Reply> safelyHandle(const Call &Request) {
    try {
      return handle(Request);
    } catch (const platform::OffsetExpired &Expired) {
      const Json Body = {{"first", Expired.first()}, {"end", Expired.end()}};
      return Reply{MHD_HTTP_GONE, Body.dump()};
    } catch (const platform::PlatformError &Error) {
      if (Error.kind() == PlatformErrorKind::OutcomeUnknown)
        return std::nullopt;
      return Reply{statusOf(Error.kind()), "{}"};
    } catch (const std::invalid_argument &Error) {
      return Reply{MHD_HTTP_BAD_REQUEST, Error.what()};
    }
  }

  std::optional<Reply> handle(const Call &Request) {
    const std::string &Path = Request.m_Path;
    if (Path == "/faults") {
      m_Store.setFaults(parseFaults(Request.m_Body));
      return Reply{};
    }
    if (Path.starts_with(ExpirePrefix)) {
      m_Store.expireBefore(Path.substr(ExpirePrefix.size()),
                           queryNumber(Request, "before", 0));
      return Reply{};
    }
    if (!Path.starts_with(StreamsPrefix))
      return Reply{MHD_HTTP_NOT_FOUND, "{}"};
    if (m_Store.isMute()) {
      m_Store.awaitVoice();
      return std::nullopt;
    }
    const std::string Stream = Path.substr(StreamsPrefix.size());
    Reply Answer = Request.m_Method == MHD_HTTP_METHOD_POST
                       ? append(Stream, Request)
                       : read(Stream, Request);
    if (m_Store.takeGarbageAnswer())
      Answer.m_Body = "<html>\xff</html>";
    return Answer;
  }

  Reply append(const std::string &Stream, const Call &Request) {
    const Json Body = {{"offset", m_Store.append(Stream, Request.m_Body)}};
    return {.m_Body = Body.dump()};
  }

  Reply read(const std::string &Stream, const Call &Request) {
    const std::uint64_t WaitMs = queryNumber(Request, "wait_ms", 0);
    return replyOf(
        m_Store.read(Stream, queryNumber(Request, "from", 0),
                     queryNumber(Request, "max", DefaultMaxRecords),
                     absl::Milliseconds(static_cast<std::int64_t>(WaitMs))));
  }

  LogStore &m_Store;
  MHD_Daemon *m_Daemon = nullptr;
};

LogServer::LogServer(LogStore &Store, const Options &Settings)
    : m_Impl(std::make_unique<Impl>(Store, Settings)) {}

LogServer::~LogServer() = default;

std::uint16_t LogServer::port() const { return m_Impl->port(); }

} // namespace knapweedloft::logservice
