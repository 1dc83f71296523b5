#ifndef KNAPWEEDLOFT_MODEL_CUSTOMER_H
#define KNAPWEEDLOFT_MODEL_CUSTOMER_H

#include <string>

namespace knapweedloft::model {

/// A tenant whose callers show one of its keys.
struct Customer {
  std::string m_Name;        ///< 1 to 64 of [a-z0-9-].
  std::string m_DisplayName; ///< Free text, 128 bytes at most.

  friend bool operator==(const Customer &, const Customer &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_CUSTOMER_H
