#ifndef KNAPWEEDLOFT_HTTP_EXCHANGEID_H
#define KNAPWEEDLOFT_HTTP_EXCHANGEID_H

#include <cstdint>
#include <utility>

namespace knapweedloft::http {

/// Names one request on one connection of a LoopServer; never used again.
struct ExchangeId {
  std::uint64_t m_Connection = 0;
  std::uint64_t m_Sequence = 0; ///< Counts the requests of the connection.

  friend bool operator==(const ExchangeId &, const ExchangeId &) = default;

  template <typename HashT>
  friend HashT AbslHashValue(HashT State, const ExchangeId &Id) {
    return HashT::combine(std::move(State), Id.m_Connection, Id.m_Sequence);
  }
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_EXCHANGEID_H
