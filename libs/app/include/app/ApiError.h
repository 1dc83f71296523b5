#ifndef KNAPWEEDLOFT_APP_APIERROR_H
#define KNAPWEEDLOFT_APP_APIERROR_H

#include <stdexcept>
#include <string>
#include <utility>

namespace knapweedloft::app {

/// A request to the resource API that cannot be met, as the problem document
/// that answers it.
class ApiError : public std::runtime_error {
public:
  /// \p Code is the machine-readable reason; \p Field names the field of the
  /// request that is at fault, if there is one.
  ApiError(int Status, std::string Code, const std::string &Detail,
           std::string Field = "")
      : std::runtime_error(Detail), m_Status(Status), m_Code(std::move(Code)),
        m_Field(std::move(Field)) {}

  [[nodiscard]] int status() const { return m_Status; }
  [[nodiscard]] const std::string &code() const { return m_Code; }
  [[nodiscard]] const std::string &field() const { return m_Field; }

private:
  int m_Status;
  std::string m_Code;
  std::string m_Field;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APIERROR_H
