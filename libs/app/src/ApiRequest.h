#ifndef KNAPWEEDLOFT_APP_APIREQUEST_H
#define KNAPWEEDLOFT_APP_APIREQUEST_H

#include "http/HttpMessage.h"
#include "model/ResourceKind.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::app {

/// A request to the resource API, taken apart.
struct ApiRequest {
  std::string m_Method;
  std::vector<std::string> m_Segments; ///< Of the path, without "v1".
  std::map<std::string, std::string> m_Query;
  const http::HttpRequest *m_Http = nullptr;

  /// \returns the header field, or nothing.
  [[nodiscard]] std::optional<std::string> header(std::string_view Name) const;

  /// \throws ApiError with status 400 if it is there and not a number.
  [[nodiscard]] std::uint64_t queryNumber(const std::string &Name,
                                          std::uint64_t Default) const;

  /// \returns the kind that the path's first segment names.
  /// \throws ApiError with status 404 if it names none.
  [[nodiscard]] model::ResourceKind kind() const;
};

/// \p Request must outlive the result.
/// \throws ApiError with status 404 if the path is not below /v1.
[[nodiscard]] ApiRequest parseApiRequest(const http::HttpRequest &Request);

/// What If-Match and If-None-Match demand of a change.
struct Precondition {
  bool m_MustExist = false; ///< If-Match: *
  /// The revision that the resource must have; 0: it must not exist.
  std::optional<std::uint64_t> m_Revision = std::nullopt;
};

/// \throws ApiError with status 400 if the fields are not understood.
[[nodiscard]] Precondition preconditionOf(const ApiRequest &Request);

/// \returns \p Revision as an entity tag.
[[nodiscard]] std::string etagOf(std::uint64_t Revision);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APIREQUEST_H
