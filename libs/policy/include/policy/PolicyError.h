#ifndef KNAPWEEDLOFT_POLICY_POLICYERROR_H
#define KNAPWEEDLOFT_POLICY_POLICYERROR_H

#include <stdexcept>

namespace knapweedloft::policy {

/// An argument or a setting of the policy library is out of range, or a
/// function was called in a state that does not allow it.
class PolicyError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_POLICYERROR_H
