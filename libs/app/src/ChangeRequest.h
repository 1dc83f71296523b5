#ifndef KNAPWEEDLOFT_APP_CHANGEREQUEST_H
#define KNAPWEEDLOFT_APP_CHANGEREQUEST_H

#include "ApiRequest.h"
#include "state/ResourceChange.h"
#include "state/Snapshot.h"

#include <functional>
#include <string>

namespace knapweedloft::app {

/// A change that an operator asks for and how it is answered.
struct ChangeRequest {
  state::ResourceChange m_Change;
  std::string m_ClientId; ///< Change id as the operator knows it.
  std::string m_KeyText;  ///< Of a key made here; shown once, never stored.
  bool m_IsNew = false;   ///< This daemon knew no such resource before.
};

/// Builds the change that \p Request asks for: PUT or DELETE of a resource, or
/// POST of a key. \p MakeId gives a fresh change id.
///
/// The change id in the record binds the operator's id to what is asked, so an
/// id that is used again for something else does not pass for done.
/// \throws ApiError if the request is not valid.
[[nodiscard]] ChangeRequest
changeRequestOf(const ApiRequest &Request, const state::Snapshot &State,
                const std::function<std::string()> &MakeId);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_CHANGEREQUEST_H
