#include "policy/RetryBudget.h"

#include "policy/PolicyError.h"

#include <algorithm>

namespace knapweedloft::policy {

RetryBudget::RetryBudget(const Options &Settings) : m_Settings(Settings) {
  if (Settings.m_Ratio < 0 || Settings.m_MaxTokens < 0)
    throw PolicyError(
        "retry budget requires a ratio and a maximum of at least 0");
}

void RetryBudget::deposit() {
  m_Tokens = std::min(m_Tokens + m_Settings.m_Ratio, m_Settings.m_MaxTokens);
}

bool RetryBudget::tryTake() {
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace knapweedloft::policy
