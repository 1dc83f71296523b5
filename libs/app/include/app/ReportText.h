#ifndef KNAPWEEDLOFT_APP_REPORTTEXT_H
#define KNAPWEEDLOFT_APP_REPORTTEXT_H

#include "app/BurnReport.h"

#include <string>
#include <vector>

namespace knapweedloft::app {

/// A customer and the share of its requests that succeeded in a window.
struct ServedCustomer {
  std::string m_Customer;
  BurnCounts m_Counts;
  double m_SuccessShare = 1;
};

/// \returns the customers of \p Report over the last hour, worst first.
[[nodiscard]] std::vector<ServedCustomer>
customersByService(const BurnReport &Report);

/// \returns \p Report as a table for a terminal.
[[nodiscard]] std::string toText(const BurnReport &Report);

/// \returns \p Report as one HTML page that needs no other file.
[[nodiscard]] std::string toHtml(const BurnReport &Report);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_REPORTTEXT_H
