#ifndef KNAPWEEDLOFT_MODEL_RATE_H
#define KNAPWEEDLOFT_MODEL_RATE_H

#include <string>

namespace knapweedloft::model {

/// What a customer may call over the whole fleet. Named as the customer.
struct Rate {
  std::string m_Name;     ///< Name of the customer.
  double m_PerSecond = 0; ///< Requests a second; more than 0.
  double m_Burst = 0;     ///< Requests at once; at least 1.

  friend bool operator==(const Rate &, const Rate &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_RATE_H
