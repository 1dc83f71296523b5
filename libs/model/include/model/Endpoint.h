#ifndef KNAPWEEDLOFT_MODEL_ENDPOINT_H
#define KNAPWEEDLOFT_MODEL_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>

namespace knapweedloft::model {

/// A TCP address by IP number.
struct Endpoint {
  std::string m_Address; ///< IPv4 or IPv6 in text form.
  std::uint16_t m_Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_ENDPOINT_H
