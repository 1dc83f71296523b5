#ifndef KNAPWEEDLOFT_APICLIENT_H
#define KNAPWEEDLOFT_APICLIENT_H

#include "ApiOptions.h"
#include "http/HttpClient.h"

#include "absl/time/time.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace knapweedloft {

/// What the API answered.
struct ApiAnswer {
  int m_Status = 0;
  nlohmann::json m_Body;
  std::string m_ChangeId;

  [[nodiscard]] bool isSuccess() const {
    return m_Status >= 200 && m_Status < 300;
  }
  /// \returns one line on why it is no success.
  [[nodiscard]] std::string reason() const;
};

/// Calls the resource API and waits for the answer.
///
/// Where a daemon does not answer, the next one is called: reads do no harm,
/// and changes carry a change id.
class ApiClient {
public:
  /// \throws UsageError if an address is not an IP number with a port.
  explicit ApiClient(const ApiOptions &Options);

  /// \returns the first answer, or nothing if no daemon answered by
  /// \p Deadline.
  std::optional<ApiAnswer> call(http::HttpRequest Request, absl::Time Deadline);

  /// Repeats a change until its outcome is known or \p Deadline has passed;
  /// \p Request must carry a Change-Id.
  /// \returns the last answer, or nothing if there was none.
  std::optional<ApiAnswer> change(const http::HttpRequest &Request,
                                  absl::Time Deadline);

  /// \returns whether a call without an answer may have reached a daemon.
  [[nodiscard]] bool mayHaveArrived() const { return m_MayHaveArrived; }

private:
  std::optional<ApiAnswer> callOne(const std::string &Base,
                                   const http::HttpRequest &Request,
                                   absl::Time Deadline);

  std::vector<std::string> m_Bases;
  std::string m_Token;
  std::size_t m_Current = 0; ///< The daemon that answered last.
  bool m_MayHaveArrived = false;
  http::HttpClient m_Client;
};

/// \returns an identifier for a change, unique in practice.
[[nodiscard]] std::string makeChangeId();

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_APICLIENT_H
