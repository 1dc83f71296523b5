#ifndef KNAPWEEDLOFT_EXPERIMENT_EXPERIMENTERROR_H
#define KNAPWEEDLOFT_EXPERIMENT_EXPERIMENTERROR_H

#include <stdexcept>

namespace knapweedloft::experiment {

/// A plan, a result file or a bench that cannot be used.
class ExperimentError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_EXPERIMENTERROR_H
